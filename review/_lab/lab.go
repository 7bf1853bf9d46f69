package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of a small deployment, as the sheet of drcs-dakar has them.
const (
	heartbeatInterval = 770 * time.Millisecond
	contactTime       = 4 * time.Second
	drainTime         = 3 * time.Second
	configApplyTime   = 3 * time.Second
)

// process is one of the project's own programs.
type process struct {
	name, role, ip, zone string
	control, readiness   string // addresses, "" where it has none
	packets              netip.AddrPort
	file, log            string

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	misses int
	in     atomic.Bool // the routers use it
}

// lab is a small deployment on loopback.
type lab struct {
	ctx    context.Context
	cancel context.CancelFunc
	record *record
	dir    string // temporary
	root   string // of the repository
	http   *http.Client

	net        int // second byte of all addresses
	packetPort uint16
	readyPort  uint16
	ctrlPort   uint16
	innerPort  uint16
	endPort    uint16
	contracts  []string
	losses     int // instances that may be lost at once
	controls   []*process
	entries    []*process
	endpoints  []*endpoint
	clients    []*clientHost

	unsound atomic.Int64

	mu     sync.Mutex
	flows  map[flowKey]*openFlow // flows that are open, or were
	asked  map[string]bool       // ids of requests
	runs   map[string]int        // runs by id of the request
	resets []resetSeen
	syns   []synTaken
}

// synTaken is an opening packet that an endpoint took.
type synTaken struct {
	life *life
	from netip.Addr // of the entry
	at   time.Time
}

// openFlow is a flow that an endpoint holds.
type openFlow struct {
	life   *life
	at     time.Time
	closed bool
}

// resetSeen is a reset of the system that a client received.
type resetSeen struct {
	key  flowKey
	at   time.Time
	held *openFlow // the flow at its endpoint, nil if no endpoint held it
	live bool      // its endpoint was running
	calm bool      // and neither it nor its links had a disruption in the last contactMs
}

// newLab makes the addresses of a deployment.
func newLab(out string) (*lab, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(filepath.Join(out, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &lab{
		ctx: ctx, cancel: cancel, record: rec, dir: dir, root: root,
		http: &http.Client{
			Transport:     &http.Transport{DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		contracts: []string{"base", "drain", "config", "cost", "recover", "flows"}, losses: 1,
		flows: map[flowKey]*openFlow{}, asked: map[string]bool{}, runs: map[string]int{},
	}
	for range 50 {
		b.net = 20 + rand.IntN(200)
		base := uint16(20000 + rand.IntN(10000))
		b.packetPort, b.readyPort, b.ctrlPort, b.innerPort, b.endPort = base, base+1, base+2, base+10, base+40
		if b.free() {
			return b, nil
		}
	}
	return nil, errors.New("no free ports")
}

// ip returns an address of the deployment.
func (b *lab) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", b.net, group, n) }

// free reports whether the ports are free on the first addresses.
func (b *lab) free() bool {
	for _, port := range []uint16{b.packetPort, b.readyPort, b.ctrlPort, b.innerPort, b.innerPort + 1, b.endPort, 9464} {
		for group := 1; group <= 4; group++ {
			l, err := net.Listen("tcp4", net.JoinHostPort(b.ip(group, 1), strconv.Itoa(int(port))))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// addMachines adds control instances and entries, in turn to the zones.
func (b *lab) addMachines(controls, entries int, zones []string) {
	for i := range controls {
		p := &process{name: fmt.Sprintf("core-%d", i+1), role: "control", ip: b.ip(1, i+1), zone: zones[i%len(zones)]}
		p.control = net.JoinHostPort(p.ip, strconv.Itoa(int(b.ctrlPort)))
		b.controls = append(b.controls, p)
	}
	for i := range entries {
		p := &process{name: fmt.Sprintf("edge-%d", i+1), role: "entry", ip: b.ip(2, i+1), zone: zones[i%len(zones)]}
		p.readiness = net.JoinHostPort(p.ip, strconv.Itoa(int(b.readyPort)))
		p.packets = netip.AddrPortFrom(netip.MustParseAddr(p.ip), b.packetPort)
		b.entries = append(b.entries, p)
	}
	for _, p := range append(append([]*process{}, b.controls...), b.entries...) {
		p.file, p.log = filepath.Join(b.dir, p.name+".toml"), filepath.Join(b.dir, p.name+".log")
	}
}

// writeSettings writes the settings file of a process.
func (b *lab) writeSettings(p *process, first bool, zones []string) error {
	var seeds []string
	for _, c := range b.controls[:min(3, len(b.controls))] {
		seeds = append(seeds, strconv.Quote(c.control))
	}
	class, serves, listen, disk := "edge", "edge", fmt.Sprintf("packetAddr = %q\nreadiness = %q", p.packets, p.readiness), ""
	if p.role == "control" {
		class, serves, listen = "core", "control_plane", fmt.Sprintf("control = %q", p.control)
		disk = fmt.Sprintf("dataDir = %q\n", filepath.Join(b.dir, "data-"+p.name))
	}
	var table, contracts []string
	for _, z := range zones {
		table = append(table, fmt.Sprintf("%s = \"dakar\"", z))
	}
	for _, c := range b.contracts {
		contracts = append(contracts, strconv.Quote(c))
	}
	text := fmt.Sprintf(`nodeName = %q
role = %q
machineClass = %q
serves = [%q]
ip = %q
zone = %q
region = "dakar"
ephemeralPorts = [%d,%d]
seeds = [%s]
bootstrap = %v
inFaultBudget = %v
%sdiscovery = "registry"
entry = "announce"
heartbeatMs = %d
contracts = [%s]
config_mode = "highest"
flowHash = "steady"
forwardingMode = "echo"
[zones]
%s
[listenAddrs]
%s
[limits]
cpuShare = 0.48
cores = 1
memoryMb = 280
maxFds = 4096
linkMbps = 1000.0
diskMb = 128
[faultTolerance]
machines = %d
zones = 1
regions = 0
[bounds]
seedStalenessS = 3
addrReuseS = 2
contactMs = 4000
ackTimeoutMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxStretchMs = 12000
warmupOverage = 1.5
warmupSlack = 5
evacuateMs = 5000
recoveryS = 12
flowSlackMs = 2000
maxFlowS = 60
`, p.name, p.role, class, serves, p.ip, p.zone, b.innerPort, b.innerPort+15, strings.Join(seeds, ","), first, p.role == "control", disk,
		heartbeatInterval.Milliseconds(), strings.Join(contracts, ","), strings.Join(table, "\n"), listen, b.losses)
	return os.WriteFile(p.file, []byte(text), 0o600)
}

// start starts a process with the command of the deploy file.
func (b *lab) start(p *process) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(b.root, "target", "oxbowsaddle"), "platform", p.role)
	cmd.Dir, cmd.Stdout, cmd.Stderr = b.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "OXBOWSADDLE_NODE_FILE=" + p.file}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	b.record.add("process %s starts", p.name)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		if b.ctx.Err() == nil {
			b.record.add("process %s ends: %v", p.name, err)
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to a process.
func (b *lab) signal(p *process, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		b.record.add("%v to %s", s, p.name)
		_ = p.cmd.Process.Signal(s)
	}
}

// running reports whether a process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill ends a process and waits for that.
func (b *lab) kill(p *process) {
	b.signal(p, syscall.SIGKILL)
	<-p.done
}

// startAll writes all settings and starts all processes, routers and clients.
func (b *lab) startAll(zones []string, clients int) error {
	for _, p := range append(append([]*process{}, b.controls...), b.entries...) {
		if err := b.writeSettings(p, true, zones); err != nil {
			return err
		}
		if err := b.start(p); err != nil {
			return err
		}
	}
	for i := range clients {
		h, err := newClientHost(b, netip.MustParseAddr(b.ip(4, i+1)))
		if err != nil {
			return err
		}
		b.clients = append(b.clients, h)
	}
	go b.routers()
	return nil
}

// routers asks each entry twice a second whether it is ready.
func (b *lab) routers() {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	for b.ctx.Err() == nil {
		for _, p := range b.entries {
			go func() {
				resp, err := client.Get("http://" + p.readiness + "/v1/readiness")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				p.mu.Lock()
				defer p.mu.Unlock()
				if ok {
					p.misses = 0
					p.in.Store(true)
				} else if p.misses++; p.misses >= 2 {
					p.in.Store(false)
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// route returns the entry that the routers choose for a packet, by a steady hash.
func (b *lab) route(src, dst netip.AddrPort) (netip.AddrPort, bool) {
	var best *process
	var most uint32
	in := 0
	for _, p := range b.entries {
		if p.in.Load() {
			in++
		}
	}
	for _, p := range b.entries {
		if !p.in.Load() && 2*in >= len(b.entries) {
			continue
		}
		h := fnv.New32a()
		_, _ = fmt.Fprintf(h, "%s %s %s", src, dst, p.name)
		if sum := h.Sum32(); best == nil || sum > most {
			best, most = p, sum
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return best.packets, true
}

// ready waits until all entries are in.
func (b *lab) ready(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, p := range b.entries {
			all = all && p.in.Load()
		}
		if all {
			return true
		}
	}
	return false
}

// order sends an order until it has a clear answer, to one control instance after the other.
func (b *lab) order(method, path string, body any, limit time.Duration) int {
	n := rand.IntN(len(b.controls))
	for end := time.Now().Add(limit); time.Now().Before(end); n++ {
		c := b.controls[n%len(b.controls)]
		status := b.call(b.ctx, method, c, path, body)
		b.record.add("order %s %s to %s: %d", method, path, c.name, status)
		if status/100 == 2 || status/100 == 4 {
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

// opened records that an endpoint holds the end of the handshake of a flow.
func (b *lab) opened(key flowKey, l *life) {
	b.record.add("flow of %s to %s is open at %s, born %d", key.src, key.dst, l.e.id, l.born.UnixMilli())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flows[key] = &openFlow{life: l, at: time.Now()}
}

// taken records that an endpoint takes an opening packet.
func (b *lab) taken(l *life, from netip.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.syns = append(b.syns, synTaken{l, from, time.Now()})
}

// closed records that a flow has ended.
func (b *lab) closed(key flowKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.flows[key]; f != nil {
		f.closed = true
	}
}

// sent records that a client sends a request.
func (b *lab) sent(id string) {
	b.record.add("request %s is sent", id)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked[id] = true
}

// ran records that an endpoint begins work on a request.
func (b *lab) ran(id string, l *life) {
	b.record.add("request %s runs on %s", id, l.e.id)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
}

// systemReset records that a client receives a reset of the system.
func (b *lab) systemReset(key flowKey, open bool) {
	b.mu.Lock()
	f := b.flows[key]
	r := resetSeen{key: key, at: time.Now(), held: f}
	r.live = f != nil && !f.closed && f.life.ctx.Err() == nil
	r.calm = r.live && time.Since(f.life.born) >= contactTime && f.life.e.calm()
	b.resets = append(b.resets, r)
	b.mu.Unlock()
	switch {
	case !open || f == nil:
		b.record.add("client %s is reset by the system before the flow is open", key.src)
	case r.live:
		b.record.add("client %s is reset by the system; %s, which holds its flow since %.3f s, runs since %.3f s",
			key.src, f.life.e.id, f.at.Sub(b.record.start).Seconds(), f.life.born.Sub(b.record.start).Seconds())
	default:
		b.record.add("client %s is reset by the system; its endpoint has ended", key.src)
	}
}

// stop ends everything that was started, and removes the temporary folder.
func (b *lab) stop() {
	b.cancel()
	for _, e := range b.endpoints {
		e.crash()
	}
	for _, p := range append(append([]*process{}, b.controls...), b.entries...) {
		p.mu.Lock()
		cmd, done := p.cmd, p.done
		p.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-done
		}
	}
	for _, h := range b.clients {
		_ = h.udp.Close()
	}
	b.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}
