package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMB is limits.memory_mb of the settings of the small deployments.
const memoryMB = 284

// settings are those of a small deployment; the addresses are filled in.
const settings = `node_name=%s
role=entry
machine_class=edge
serves=edge
ip=127.0.0.1
zone=zone-a
region=region-a
zones.zone-a=region-a
zones.zone-b=region-a
listen.front=%s
listen.ready=%s
port_range=%d,%d
bootstrap=false
limits.cpu_share=0.4
limits.cpus=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.reuse_after_s=2
bounds.contact_ms=4000
bounds.drain_ms=2500
bounds.grace_s=8
bounds.lost_ms=200
bounds.config_apply_ms=2500
bounds.rollback_slack_ms=250
bounds.budget_ratio=0.8
bounds.budget_window_s=10
bounds.budget_slack=150
bounds.expose_share=0.1
bounds.expose_slack=50
provider.address=%s
provider.form=kv
`

// edge is one process of the system on a machine of its own.
type edge struct {
	front string
	ready string
	cmd   *exec.Cmd
	done  chan struct{}

	mutex  sync.Mutex
	peakMB int
	// killedAt is when the platform ended the process because of its memory.
	killedAt time.Time
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func portOf(address string) int {
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	return n
}

// startEdge starts the program with the command of the deploy file and waits until
// it is ready.
func startEdge(name, folder, storeAddress string) (*edge, error) {
	e := &edge{
		front: freeAddress(),
		ready: freeAddress(),
		done:  make(chan struct{}),
	}
	peer := portOf(freeAddress())
	path := filepath.Join(folder, name+".conf")
	text := fmt.Sprintf(settings, name, e.front, e.ready, peer, peer, storeAddress)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	e.cmd = exec.Command("target/clementinedge")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "CLEMENTINELINK_CONFIG=" + path, "CLEMENTINE_METRICS=0"}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = e.cmd.Wait()
		_ = log.Close()
		close(e.done)
	}()
	go e.watchMemory()
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
		if resp, err := http.Get("http://" + e.ready + "/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return e, nil
			}
		}
	}
	e.end()
	return nil, fmt.Errorf("%s did not become ready", name)
}

// watchMemory ends the process once it exceeds the memory of its machine, as the
// platform does.
func (e *edge) watchMemory() {
	status := fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid)
	for {
		select {
		case <-e.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		b, err := os.ReadFile(status)
		if err != nil {
			return
		}
		for _, line := range strings.Split(string(b), "\n") {
			f := strings.Fields(line)
			if len(f) < 2 || f[0] != "VmRSS:" {
				continue
			}
			kb, _ := strconv.Atoi(f[1])
			e.mutex.Lock()
			e.peakMB = max(e.peakMB, kb>>10)
			over := e.peakMB > memoryMB && e.killedAt.IsZero()
			if over {
				e.killedAt = time.Now()
			}
			e.mutex.Unlock()
			if over {
				_ = e.cmd.Process.Signal(syscall.SIGKILL)
			}
		}
	}
}

// memory returns the peak of the process's memory in MB, and whether the platform
// ended it.
func (e *edge) memory() (peakMB int, killed bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.peakMB, !e.killedAt.IsZero()
}

// end ends the process.
func (e *edge) end() {
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.done
}
