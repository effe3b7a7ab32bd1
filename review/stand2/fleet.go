package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// fleet holds the processes of one case and its record.
type fleet struct {
	folder string
	store  *store
	mutex  sync.Mutex
	record *bufio.Writer
	// processes holds the running processes by name.
	processes map[string]*exec.Cmd
	// group waits for the ends of all processes.
	group sync.WaitGroup
	// edges holds the addresses of the entry processes for clients, in order.
	edges []string
	ready []string
	ended bool
	// lastID is the number of the latest stream.
	lastID atomic.Int64
	// observe is called with each line of a worker.
	observe func(line []byte)
}

// newFleet starts a store and opens the record.
func newFleet(recordPath string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &fleet{
		folder:    folder,
		store:     s,
		record:    bufio.NewWriter(record),
		processes: make(map[string]*exec.Cmd),
		observe:   func([]byte) {},
	}, nil
}

// note writes a line to the record.
func (f *fleet) note(format string, a ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.ended {
		_, _ = fmt.Fprintf(f.record, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, a...))
	}
}

// start starts a process whose output is passed to read.
func (f *fleet) start(process string, cmd *exec.Cmd, read func(io.Reader)) error {
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.group.Go(func() {
		read(out)
		err := cmd.Wait()
		f.mutex.Lock()
		expected := f.processes[process] != cmd
		f.mutex.Unlock()
		if !expected {
			f.note("process %s ended by itself: %v", process, err)
		}
	})
	f.mutex.Lock()
	f.processes[process] = cmd
	f.mutex.Unlock()
	f.note("start %s, process %d", process, cmd.Process.Pid)
	return nil
}

// signal sends a signal to a process.
func (f *fleet) signal(process string, s syscall.Signal) {
	f.mutex.Lock()
	cmd := f.processes[process]
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		delete(f.processes, process)
	}
	f.mutex.Unlock()
	if cmd == nil {
		return
	}
	f.note("%s to %s", s, process)
	_ = cmd.Process.Signal(s)
}

// close ends all processes, waits until they are gone, and ends the record.
func (f *fleet) close() {
	f.mutex.Lock()
	for _, cmd := range f.processes {
		_ = cmd.Process.Kill()
	}
	clear(f.processes)
	f.ended = true
	_ = f.record.Flush()
	f.mutex.Unlock()
	f.group.Wait()
	_ = os.RemoveAll(f.folder)
}

// startWorker starts a worker process under a process name.
func (f *fleet) startWorker(process string, args ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, append([]string{"worker", "-store", f.store.address}, args...)...)
	return f.start(process, cmd, f.readWorker)
}

// readWorker reads the lines of a worker.
func (f *fleet) readWorker(r io.Reader) {
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		f.note("worker %s", sc.Text())
		f.observe(sc.Bytes())
	}
}

// zones are the zones of the deployment. The first two are of one region.
var zones = []string{"gab-mill", "gab-annex", "plv-depot"}

// startEdges starts n entry processes with the command of the deploy file, on loopback
// addresses of their own, and waits until they are ready.
func (f *fleet) startEdges(n int) error {
	for i := range n {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		ports, err := freePorts(ip, 3)
		if err != nil {
			return err
		}
		f.edges = append(f.edges, fmt.Sprintf("%s:%d", ip, ports[0]))
		f.ready = append(f.ready, fmt.Sprintf("%s:%d", ip, ports[1]))
		if err := f.writeSettings(i, ip, ports); err != nil {
			return err
		}
		if err := f.startEdge(i, ""); err != nil {
			return err
		}
	}
	for i := range n {
		if err := f.awaitReady(i, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings file of an entry process.
func (f *fleet) writeSettings(i int, ip string, ports []int) error {
	zone := zones[i%len(zones)]
	region := "gabrovo"
	if zone == "plv-depot" {
		region = "plovdiv"
	}
	text := fmt.Sprintf(`node_name=edge-%s-%d
role=entry
machine_class=edge
serves=edge
ip=%s
zone=%s
region=%s
zones.gab-mill=gabrovo
zones.plv-depot=plovdiv
zones.gab-annex=gabrovo
listen.front=%s
listen.ready=%s
port_range=%d,%d
bootstrap=true
in_tolerance=false
limits.cpu_share=0.4
limits.cpus=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,platform
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.sync_s=4
bounds.drain_ms=2500
bounds.grace_s=8
bounds.lost_ms=200
bounds.config_apply_ms=2500
bounds.rollback_slack_ms=250
bounds.max_skew_ms=6000
bounds.fail_closed=false
bounds.revoke_ms=5000
bounds.budget_ratio=0.8
bounds.budget_window_s=10
bounds.budget_slack=150
bounds.expose_share=0.1
bounds.expose_slack=50
bounds.rollback_ms=5000
bounds.recover_s=12
bounds.pass_ms=250
bounds.again_s=8.1
provider.address=%s
provider.form=kv
provider.writes_per_s=400
provider.reads_per_s=2000
provider.history_s=20
provider.value_bytes=1048576
provider.ttl_min_ms=1000
`, zone, i, ip, zone, region, f.edges[i], f.ready[i], ports[2], ports[2], f.store.address)
	return os.WriteFile(f.settingsPath(i), []byte(text), 0o600)
}

func (f *fleet) settingsPath(i int) string {
	return filepath.Join(f.folder, fmt.Sprintf("edge-%d.conf", i))
}

// startEdge starts an entry process with the command of the deploy file.
func (f *fleet) startEdge(i int, suffix string) error {
	run, err := runCommand()
	if err != nil {
		return err
	}
	cmd := exec.Command(run[0], run[1:]...)
	cmd.Env = []string{"CLEMENTINELINK_CONFIG=" + f.settingsPath(i), "CLEMENTINE_METRICS=0", "PATH=" + os.Getenv("PATH"), "HOME=" + f.folder}
	logs, err := os.Create(filepath.Join(os.TempDir(), fmt.Sprintf("case-edge-%d%s.log", i, suffix)))
	if err != nil {
		return err
	}
	return f.start(fmt.Sprintf("edge-%d", i), cmd, func(r io.Reader) {
		_, _ = io.Copy(logs, r)
		_ = logs.Close()
	})
}

// runCommand returns the words of the run command of the deploy file.
func runCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("the deploy file has no command")
}

// awaitReady waits until an entry process reports that it is ready.
func (f *fleet) awaitReady(i int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f.isReady(i) {
			return nil
		}
	}
	return fmt.Errorf("edge-%d does not get ready", i)
}

// freePorts returns ports of the address that no process listens on.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
