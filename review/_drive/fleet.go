package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of a fleet. All processes use the same ports at different loopback addresses.
const (
	packetPort    = 18172
	readinessPort = 18167
	controlPort   = 18166
	firstPeerPort = 17720
	lastPeerPort  = 17735
)

// recorder writes record.txt: a line for each call, answer, packet and disruption.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, start: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// machine is one process of the system with its address, settings and disk.
type machine struct {
	fleet     *fleet
	name      string
	role      string // "entry" or "control"
	zone      string
	ip        string
	bootstrap bool
	cmd       *exec.Cmd
	exited    chan struct{}
}

// site holds what the settings of a deployment have in common, from its site's sheet.
type site struct {
	region      string
	zones       []string
	contracts   []string
	heartbeatMs int
	losses      int    // machines with a disk that may be lost at once
	bounds      string // the table of bounds
}

// qasr has the settings of the site qasr-returns.
var qasr = site{
	region: "amman", zones: []string{"amman-a", "amman-b", "amman-c", "amman-d"},
	contracts:   []string{"base", "drain", "config", "cost", "recover", "flows"},
	heartbeatMs: 1200, losses: 1,
	bounds: "seedStalenessS = 3\naddrReuseS = 2\ncontactMs = 4000\nackTimeoutMs = 5000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\n" +
		"configApplyMs = 3000\nrollbackSlackMs = 250\nmaxStretchMs = 12000\nrecoveryS = 12\nflowSlackMs = 2000\nmaxFlowS = 60\n",
}

// dakarNow has the settings of the site drcs-dakar-now-grown.
var dakarNow = site{
	region: "dakar", zones: []string{"plateau", "almadies", "diamniadio"},
	contracts:   []string{"base", "drain", "config", "cost", "recover", "health", "flows", "places"},
	heartbeatMs: 770, losses: 2,
	bounds: "seedStalenessS = 3\naddrReuseS = 2\ncontactMs = 5000\nackTimeoutMs = 6000\ncatchUpS = 6\ndrainMs = 4000\ngraceS = 6\nlossSlackMs = 200\n" +
		"configApplyMs = 4000\nrollbackSlackMs = 250\nmaxStretchMs = 15000\nwarmupOverage = 1.5\nwarmupSlack = 5\nevacuateMs = 5000\nrecoveryS = 15\nflowSlackMs = 2000\nmaxFlowS = 60\n",
}

// fleet holds the processes of one run.
type fleet struct {
	record   *recorder
	root     string // of the repository
	dir      string // temporary folder
	block    string // first three bytes of the addresses
	site     site
	seeds    []string
	machines []*machine
}

// newFleet chooses a block of loopback addresses with free ports.
func newFleet(r *recorder, s site) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	for i := range 200 {
		block := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+(os.Getpid()/200+i)%200)
		if blockFree(block) {
			return &fleet{record: r, root: root, dir: dir, block: block, site: s}, nil
		}
	}
	return nil, fmt.Errorf("no free block of loopback addresses")
}

// blockFree reports whether the ports can be used at some addresses of a block.
func blockFree(block string) bool {
	for _, host := range []int{11, 12, 21, 22} {
		for _, port := range []int{controlPort, readinessPort, firstPeerPort, 9464} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", block, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// addr returns the address of the n-th host of the block.
func (f *fleet) addr(host int) string { return fmt.Sprintf("%s.%d", f.block, host) }

// add adds a machine; it does not start it.
func (f *fleet) add(role, name, zone string, host int) *machine {
	m := &machine{fleet: f, name: name, role: role, zone: zone, ip: f.addr(host), bootstrap: true}
	f.machines = append(f.machines, m)
	return m
}

func (m *machine) folder() string  { return filepath.Join(m.fleet.dir, m.name) }
func (m *machine) dataDir() string { return filepath.Join(m.folder(), "data") }

// settings returns the settings file, with the fields and bounds of the site named in the claim.
func (m *machine) settings() string {
	var b strings.Builder
	class, serves := "edge", "edge"
	if m.role == "control" {
		class, serves = "core", "control_plane"
	}
	fmt.Fprintf(&b, "nodeName = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = %q\n", m.name, m.role, class, serves, m.ip, m.zone, m.fleet.site.region)
	fmt.Fprintf(&b, "ephemeralPorts = [%d,%d]\nseeds = [\"%s\"]\nbootstrap = %t\ninFaultBudget = %t\n", firstPeerPort, lastPeerPort, strings.Join(m.fleet.seeds, `","`), m.bootstrap, m.role == "control")
	if m.role == "control" {
		fmt.Fprintf(&b, "dataDir = %q\n", m.dataDir())
	}
	fmt.Fprintf(&b, "discovery = \"registry\"\nentry = \"announce\"\nheartbeatMs = %d\n", m.fleet.site.heartbeatMs)
	fmt.Fprintf(&b, "contracts = [\"%s\"]\nconfig_mode = \"highest\"\nflowHash = \"steady\"\nforwardingMode = \"echo\"\n[zones]\n", strings.Join(m.fleet.site.contracts, `","`))
	for _, zone := range m.fleet.site.zones {
		fmt.Fprintf(&b, "%s = %q\n", zone, m.fleet.site.region)
	}
	b.WriteString("[listenAddrs]\n")
	if m.role == "control" {
		fmt.Fprintf(&b, "control = \"%s:%d\"\n", m.ip, controlPort)
	} else {
		fmt.Fprintf(&b, "packetAddr = \"%s:%d\"\nreadiness = \"%s:%d\"\n", m.ip, packetPort, m.ip, readinessPort)
	}
	b.WriteString("[limits]\ncpuShare = 0.48\ncores = 1\nmemoryMb = 280\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128\n")
	fmt.Fprintf(&b, "[faultTolerance]\nmachines = %d\nzones = 1\nregions = 0\n[bounds]\n%s", m.fleet.site.losses, m.fleet.site.bounds)
	return b.String()
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	if err := os.MkdirAll(m.folder(), 0o755); err != nil {
		return err
	}
	if m.role == "control" {
		if err := os.MkdirAll(m.dataDir(), 0o755); err != nil {
			return err
		}
	}
	file := filepath.Join(m.folder(), "node.toml")
	if err := os.WriteFile(file, []byte(m.settings()), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.folder(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(filepath.Join(m.fleet.root, "target/oxbowsaddle"), "platform", m.role)
	m.cmd.Dir = m.fleet.root
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OXBOWSADDLE_NODE_FILE=" + file}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(m.cmd)
	m.fleet.record.printf("start %s at %s, bootstrap %t", m.name, m.ip, m.bootstrap)
	m.bootstrap = false
	return nil
}

// running reports whether the process runs.
func (m *machine) running() bool {
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process that this run started.
func (m *machine) signal(s syscall.Signal) {
	if m.running() {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	if m.running() {
		_ = m.cmd.Process.Kill()
		<-m.exited
	}
}

// loseDisk empties the data folder of a machine that does not run.
func (m *machine) loseDisk() error { return os.RemoveAll(m.dataDir()) }

// end ends all processes and removes the temporary folder.
func (f *fleet) end() {
	for _, m := range f.machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// log returns the lines of a machine's log that contain one of the words.
func (m *machine) log(words ...string) []string {
	raw, _ := os.ReadFile(filepath.Join(m.folder(), "log"))
	var found []string
	for _, line := range strings.Split(string(raw), "\n") {
		for _, w := range words {
			if strings.Contains(line, w) {
				found = append(found, line)
				break
			}
		}
	}
	return found
}

// answer is the answer to one call.
type answer struct {
	status   int // 0 if none came
	body     string
	location string
}

// caller makes calls of operators and endpoints; it follows no redirect by itself.
var caller = &http.Client{
	Timeout:       time.Second,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	Transport:     &http.Transport{DisableKeepAlives: true},
}

// callOnce makes one call.
func callOnce(method, url, body string) answer {
	r, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{}
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := caller.Do(r)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, string(raw), resp.Header.Get("Location")}
}

// call makes a call at a machine and follows up to two redirects.
func (m *machine) call(method, path, body string) answer {
	url := fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, path)
	a := callOnce(method, url, body)
	for range 2 {
		if a.status != http.StatusTemporaryRedirect {
			break
		}
		a = callOnce(method, a.location, body)
	}
	return a
}
