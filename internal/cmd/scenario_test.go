package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"oxbowsaddle/examples"
	"oxbowsaddle/internal/standin"
)

// fleet runs one process of the built binary per instance.
type fleet struct {
	t            *testing.T
	binary       string
	settings     string
	controlAddrs []string
	processes    map[string]*exec.Cmd
}

const commandTimeout = 40 * time.Second

func newFleet(t *testing.T, names ...string) *fleet {
	t.Helper()
	dir := t.TempDir()
	f := &fleet{t: t, binary: filepath.Join(dir, "oxbowsaddle"), settings: filepath.Join(dir, "settings.jsonc"), processes: map[string]*exec.Cmd{}}
	if out, err := exec.Command("go", "build", "-o", f.binary, "oxbowsaddle").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	var instances []string
	for n, name := range names {
		control := freePort(t)
		f.controlAddrs = append(f.controlAddrs, control)
		instances = append(instances, fmt.Sprintf(`{"name": %q, "domain": "d%d", "packets": %q, "control": %q, "data": %q}`,
			name, n, freePort(t), control, filepath.Join(dir, name)))
	}
	text := `{"hash_key": "000102030405060708090a0b0c0d0e0f", "fabric": "` + freePort(t) + `", "instances": [` + strings.Join(instances, ",") + `]}`
	if err := os.WriteFile(f.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		f.start(name)
	}
	t.Cleanup(func() {
		for name := range f.processes {
			f.stop(name, syscall.SIGKILL)
		}
	})
	return f
}

func freePort(t *testing.T) string {
	t.Helper()
	addr, err := standin.FreeAddr("tcp")
	if err != nil {
		t.Fatal(err)
	}
	return addr.String()
}

func (f *fleet) start(name string) {
	f.t.Helper()
	c := exec.Command(f.binary, "entry", "--settings", f.settings, "--name", name)
	log, err := os.OpenFile(filepath.Join(filepath.Dir(f.settings), name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	c.Stderr = log
	f.t.Cleanup(func() {
		text, _ := os.ReadFile(log.Name())
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", name, text)
		}
		_ = log.Close()
	})
	if err := c.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[name] = c
}

// stop sends a signal to an instance and returns its exit code.
func (f *fleet) stop(name string, s syscall.Signal) int {
	f.t.Helper()
	c := f.processes[name]
	delete(f.processes, name)
	_ = c.Process.Signal(s)
	_ = c.Wait()
	return c.ProcessState.ExitCode()
}

// run runs an operator's command and returns its output and exit code.
func (f *fleet) run(args ...string) (string, int) {
	var out bytes.Buffer
	c := exec.Command(f.binary, args...)
	c.Stdout, c.Stderr = &out, &out
	_ = c.Run()
	return out.String(), c.ProcessState.ExitCode()
}

// runUntil repeats a command until it exits with code.
func (f *fleet) runUntil(code int, args ...string) string {
	f.t.Helper()
	end := time.Now().Add(commandTimeout)
	for {
		out, got := f.run(args...)
		if got == code {
			return out
		}
		if time.Now().After(end) {
			f.t.Fatalf("%v: exit code %d, wanted %d\n%s", args, got, code, out)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// writeExample writes the visa example, changed by edit, to a temporary file.
func writeExample(t *testing.T, edit func(string) string) string {
	t.Helper()
	data, err := examples.Files.ReadFile("visa/intent.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "intent.jsonc")
	if err := os.WriteFile(path, []byte(edit(string(data))), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Runs the operator commands against real processes: accept, resend, conflicting
// changes, loss of the leader, change of control instances, why, planned stop.
func TestOperatorWorkflow(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, "one", "two", "three")
	file := writeExample(t, func(s string) string { return s })
	f.runUntil(0, "accept", file, "--addr", f.controlAddrs[0], "--id", "first")
	out := f.runUntil(0, "accept", file, "--addr", f.controlAddrs[1], "--id", "first")
	g.Expect(out).To(gomega.ContainSubstring("already accepted"), "a change sent twice is accepted once")
	f.runUntil(0, "status", "--wait", "20s", "--addr", f.controlAddrs[2])

	base := strings.TrimSpace(revision(t, f))
	lower := writeExample(t, func(s string) string { return strings.Replace(s, `"balance": 0.9`, `"balance": 0.6`, 1) })
	higher := writeExample(t, func(s string) string { return strings.Replace(s, `"balance": 0.9`, `"balance": 0.7`, 1) })
	f.runUntil(0, "accept", lower, "--addr", f.controlAddrs[0], "--base", base, "--author", "amina")
	out, code := f.run("accept", higher, "--addr", f.controlAddrs[1], "--base", base, "--author", "yusuf")
	g.Expect(code).To(gomega.Equal(5), out)
	g.Expect(out).To(gomega.ContainSubstring("amina"), "the conflict names the author of the accepted change")

	invalid := writeExample(t, func(s string) string { return strings.Replace(s, `"balance": 0.9`, `"balance": 9`, 1) })
	out, code = f.run("accept", invalid, "--addr", f.controlAddrs[0])
	g.Expect(code).To(gomega.Equal(4), out)

	leader := leaderOf(t, f)
	f.stop(leader, syscall.SIGKILL)
	survivor := f.controlAddrs[0]
	if leader == "one" {
		survivor = f.controlAddrs[1]
	}
	f.runUntil(0, "accept", higher, "--addr", survivor, "--id", "after-loss")
	f.start(leader)
	f.runUntil(0, "status", "--wait", "20s", "--addr", survivor)
	out = f.runUntil(0, "history", "--addr", survivor)
	g.Expect(strings.Count(out, "change first:")).To(gomega.Equal(1))
	g.Expect(out).To(gomega.ContainSubstring("after-loss"))

	out = f.runUntil(0, "control", "list", "--addr", survivor)
	g.Expect(out).To(gomega.ContainSubstring("three"))
	spare := "three"
	if leaderOf(t, f) == spare {
		spare = "two"
	}
	f.runUntil(0, "control", "remove", spare, "--addr", survivor)
	f.runUntil(0, "control", "add", spare, "--addr", survivor)
	_, code = f.run("control", "add", "nobody", "--addr", survivor)
	g.Expect(code).To(gomega.Equal(4))

	out = f.runUntil(0, "why", "flow", "10.0.0.1:4000", "192.0.2.10:443", "--addr", survivor)
	g.Expect(out).To(gomega.ContainSubstring("candidate booking-1"))
	f.runUntil(0, "why", "lag", "--addr", survivor)
	_, code = f.run("why", "drain", "nobody", "--addr", survivor)
	g.Expect(code).To(gomega.Equal(13))
	g.Expect(f.stop("three", syscall.SIGTERM)).To(gomega.Equal(0), "a planned stop exits with 0")
}

func revision(t *testing.T, f *fleet) string {
	t.Helper()
	return fmt.Sprint(int64(status(t, f)["revision"].(float64)))
}

func leaderOf(t *testing.T, f *fleet) string {
	t.Helper()
	return status(t, f)["leader_name"].(string)
}

func status(t *testing.T, f *fleet) map[string]any {
	t.Helper()
	out := f.runUntil(0, "status", "--output", "json", "--addr", f.controlAddrs[0])
	var s map[string]any
	if err := json.Unmarshal([]byte(out), &s); err != nil {
		t.Fatal(err, out)
	}
	return s
}

func TestExitCodesOfBadInput(t *testing.T) {
	g := gomega.NewWithT(t)
	var out, errOut bytes.Buffer
	g.Expect(Main([]string{"settings", "check", "/does/not/exist"}, &out, &errOut)).To(gomega.Equal(3))
	g.Expect(Main([]string{"status", "--addr", "nowhere"}, &out, &errOut)).To(gomega.Equal(2))
	g.Expect(Main([]string{"status", "--nonsense"}, &out, &errOut)).To(gomega.Equal(2))
	g.Expect(Main([]string{"status", "--addr", freePort(t)}, &out, &errOut)).To(gomega.Equal(8))
	g.Expect(Main([]string{"version"}, &out, &errOut)).To(gomega.Equal(0))
	g.Expect(errOut.String()).To(gomega.ContainSubstring("next: "))
}

func TestExitCodesOfUnusablePortAndDataFolder(t *testing.T) {
	g := gomega.NewWithT(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = taken.Close() }()
	dir := t.TempDir()
	blocked := filepath.Join(dir, "file")
	g.Expect(os.WriteFile(blocked, nil, 0o600)).To(gomega.Succeed())
	write := func(control, data string) string {
		path := filepath.Join(dir, "s.jsonc")
		text := fmt.Sprintf(`{"hash_key": "000102030405060708090a0b0c0d0e0f", "fabric": "127.0.0.1:1", "instances": [`+
			`{"name": "a", "domain": "d", "packets": %q, "control": %q, "data": %q}]}`, freePort(t), control, data)
		g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
		return path
	}
	var out, errOut bytes.Buffer
	g.Expect(Main([]string{"entry", "--settings", write(taken.Addr().String(), filepath.Join(dir, "x")), "--name", "a"}, &out, &errOut)).To(gomega.Equal(9))
	g.Expect(Main([]string{"entry", "--settings", write(freePort(t), filepath.Join(blocked, "x")), "--name", "a"}, &out, &errOut)).To(gomega.Equal(10))
}
