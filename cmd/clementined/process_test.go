package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/lab"
)

// process is one program of the deployment under test.
type process struct {
	name string
	cmd  *exec.Cmd
	// address is the first line of output, or the address that a VM serves
	// callers on.
	address string
	// logFields holds the fields of the log line with which a VM reports its
	// addresses.
	logFields map[string]string
}

// deployment is a set of processes on loopback.
type deployment struct {
	t      *testing.T
	bin    string
	vmList *process
	store  *process
	all    []*process
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{
		t:   t,
		bin: t.TempDir(),
	}
	build := exec.Command("go", "build", "-o", d.bin, "clementinelink.example/clementinelink/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	t.Cleanup(func() {
		for _, p := range d.all {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	})
	d.store = d.startStandIn("store")
	d.vmList = d.startStandIn("vms")
	return d
}

// startStandIn starts a simulated service, which prints its address on the
// first line of output.
func (d *deployment) startStandIn(args ...string) *process {
	cmd := exec.Command(filepath.Join(d.bin, "clementinelab"), args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		d.t.Fatal(err)
	}
	p := d.start(args[0], cmd)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		d.t.Fatalf("%v: read address: %v", args, err)
	}
	p.address = strings.TrimSpace(line)
	return p
}

func (d *deployment) start(name string, cmd *exec.Cmd) *process {
	if err := cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	p := &process{
		name: name,
		cmd:  cmd,
	}
	d.all = append(d.all, p)
	return p
}

func (d *deployment) startEngine(name string) *process {
	p := d.startStandIn("engine", "--name", name, "--gap", "20ms", "--growth", "0")
	d.changeVMList("add", name, "engine", p.address, "draft")
	return p
}

// startEntry starts an entry VM and reads its addresses from its log.
func (d *deployment) startEntry(name string) *process {
	cmd := exec.Command(filepath.Join(d.bin, "clementined"), "--name", name, "--region", "gabrovo", "--domain", "gab-mill",
		"--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0", "--peer", "127.0.0.1:0", "--store", "http://"+d.store.address,
		"--drain", "200ms")
	cmd.Env = append(os.Environ(), "CLEMENTINE_VMS=http://"+d.vmList.address, "CLEMENTINE_KEYS=00112233445566778899aabbccddeeff")
	logs, err := cmd.StderrPipe()
	if err != nil {
		d.t.Fatal(err)
	}
	p := d.start(name, cmd)
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		if bytes.Contains(lines.Bytes(), []byte("The VM is up.")) {
			break
		}
	}
	if err := json.Unmarshal(lines.Bytes(), &p.logFields); err != nil {
		d.t.Fatalf("%s: no address in the log: %v: %s", name, err, lines.Text())
	}
	go func() { _, _ = io.Copy(io.Discard, logs) }()
	p.address = p.logFields["callers"]
	d.changeVMList("add", name, "entry", p.logFields["peers"], "")
	return p
}

// changeVMList applies an operation on a VM to the platform's VM list.
func (d *deployment) changeVMList(op, name, kind, address, service string) {
	body, err := json.Marshal(map[string]any{"op": op, "vm": map[string]string{
		"name": name, "kind": kind, "address": address, "service": service, "domain": "gab-mill", "region": "gabrovo", "state": "live",
	}})
	if err != nil {
		d.t.Fatal(err)
	}
	resp, err := http.Post("http://"+d.vmList.address+"/vms", "application/json", bytes.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		d.t.Fatalf("VM list: %s", resp.Status)
	}
}

// apply submits a declaration with clementinectl.
func (d *deployment) apply(p *process) {
	key := lab.Digest(lab.Token(0))
	file := filepath.Join(d.bin, "declaration.json")
	text := fmt.Sprintf(`{"regions": [{"name": "gabrovo", "domains": ["gab-mill"]}],
 "models": [{"name": "draft", "stable": "v1", "contract": {"deadline": "1m"}}],
 "workspaces": [{"name": "mill", "key": %q, "weight": 1, "class": "interactive"}]}`, key)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	out, err := exec.Command(filepath.Join(d.bin, "clementinectl"), "--address", p.logFields["operators"], "apply", "--revision", "0", file).CombinedOutput()
	if err != nil {
		d.t.Fatalf("apply: %v\n%s", err, out)
	}
}

func (d *deployment) signal(p *process, s os.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil {
		d.t.Errorf("%s: %v", p.name, err)
	}
}

// waitReady waits until a VM has a configuration and enough live engines.
func (d *deployment) waitReady(p *process, engines int) {
	var body []byte
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		resp, err := http.Get("http://" + p.logFields["operators"] + "/upstreams")
		if err != nil {
			continue
		}
		body, _ = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if strings.Count(string(body), `"state": "live"`) >= engines && !strings.Contains(string(body), `"revision": 0`) {
			return
		}
	}
	d.t.Fatalf("%s is not ready: %s", p.name, body)
}

// TestProcesses guards the whole path with separate processes. Every response
// must be whole although an engine and an entry VM are killed, another engine
// is stopped and continued, and an entry VM is shut down while it serves
// requests.
func TestProcesses(t *testing.T) {
	d := newDeployment(t)
	engines := []*process{d.startEngine("e0"), d.startEngine("e1"), d.startEngine("e2"), d.startEngine("e3")}
	entries := []*process{d.startEntry("v0"), d.startEntry("v1"), d.startEntry("v2")}
	d.apply(entries[0])
	var addresses []string
	for _, p := range entries {
		d.waitReady(p, len(engines))
		addresses = append(addresses, p.address)
	}
	caller := lab.NewCaller(addresses, lab.Token(0)).WithIdleTimeout(3 * time.Second)
	defer caller.Close()
	result := lab.NewResult(time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lab.NewLoad(caller, 12, func(n int) *lab.Request {
			return lab.NewRequest("draft", fmt.Sprintf("separate %d", n), []string{"v1"}, uint64(n), 120)
		}).Run(context.Background(), 36, result)
	}()
	time.Sleep(time.Second)
	d.signal(engines[0], syscall.SIGKILL)
	time.Sleep(700 * time.Millisecond)
	d.signal(engines[1], syscall.SIGSTOP)
	time.Sleep(700 * time.Millisecond)
	d.signal(entries[0], syscall.SIGKILL)
	time.Sleep(700 * time.Millisecond)
	d.signal(entries[1], syscall.SIGTERM)
	time.Sleep(700 * time.Millisecond)
	d.signal(engines[1], syscall.SIGCONT)
	<-done
	if got := result.Count(lab.Whole); got != 36 {
		t.Errorf("%d of 36 responses are whole:\n%s", got, strings.Join(result.Notes(), "\n"))
	}
	if err := entries[1].cmd.Wait(); err != nil {
		t.Errorf("the entry VM that was shut down: %v", err)
	}
}

// TestSettings guards against a VM that starts with invalid settings. It must
// exit with code 2 instead.
func TestSettings(t *testing.T) {
	base := []string{"--name", "v", "--region", "r", "--domain", "d", "--store", "http://127.0.0.1:1", "--vms", "http://127.0.0.1:1", "--keys", "00112233445566778899aabbccddeeff"}
	for _, tc := range []struct {
		args []string
		code int
	}{
		{
			args: []string{"--unknown"},
			code: exitUsage,
		},
		{
			args: []string{"--name", "v"},
			code: exitUsage,
		},
		{
			args: append(base, "--listen", "localhost:1"),
			code: exitUsage,
		},
		{
			args: append(base, "--listen", "127.0.0.1:1", "--admin", "127.0.0.1:1"),
			code: exitUsage,
		},
		{
			args: append(base, "--store", "ftp://x"),
			code: exitUsage,
		},
		{
			args: append(base, "--keys", "short"),
			code: exitUsage,
		},
		{
			args: append(base, "--drain", "-1s"),
			code: exitUsage,
		},
		{
			args: append(base, "extra"),
			code: exitUsage,
		},
		{
			args: []string{"--help"},
			code: exitOK,
		},
		{
			args: []string{"--version"},
			code: exitOK,
		},
	} {
		if got := run(tc.args); got != tc.code {
			t.Errorf("%v: exit code %d, want %d", tc.args, got, tc.code)
		}
	}
}
