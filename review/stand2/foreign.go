package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// silence is how long a sound worker is silent.
	silence = 1100 * time.Millisecond
	// allowed is how long a worker may still work on a request that goes on elsewhere.
	allowed = 400 * time.Millisecond
)

// foreignEntry lets model workers be silent for a second one after the other. Before that,
// another writer registers their addresses under a service that the configuration does not
// name. It checks that no worker still works on a request that goes on at another one.
func foreignEntry(f *fleet, trouble bool) ([]string, error) {
	const workers = 6
	watch := &doubleRuns{
		runs:  make(map[string][]runLine),
		awake: make(map[string]time.Time),
	}
	f.observe = watch.line
	if err := startDeployment(f, workers, 1, 3); err != nil {
		return nil, err
	}
	if trouble {
		f.writeForeignEntries()
	}
	wait := f.streams(4, 40*time.Second, streamEvents, func(request, result) {})
	for k := range 12 {
		time.Sleep(2 * time.Second)
		process := fmt.Sprintf("model-%d", k%workers)
		f.signal(process, syscall.SIGSTOP)
		time.Sleep(silence)
		watch.wake(fmt.Sprintf("i-model%d-0", k%workers))
		f.signal(process, syscall.SIGCONT)
	}
	wait()
	time.Sleep(time.Second)
	return watch.broken(), nil
}

// writeForeignEntries registers the address of each model worker under another id and a
// service that the configuration does not name.
func (f *fleet) writeForeignEntries() {
	for key, value := range f.store.values(name("registry")) {
		var entry map[string]any
		if json.Unmarshal(value, &entry) != nil || entry["service"] != modelService {
			continue
		}
		entry["service"] = "gpu-audit"
		foreign, _ := json.Marshal(entry)
		f.note("another writer puts %s: %s", strings.Replace(key, "i-", "audit-", 1), foreign)
		f.store.put(strings.Replace(key, "i-", "audit-", 1), foreign)
	}
}

// runLine is a line of a worker about a run.
type runLine struct {
	Event  string `json:"event"`
	ID     string `json:"id"`
	Worker string `json:"worker"`
	Ms     int64  `json:"ms"`
}

// doubleRuns finds workers that work on a request that goes on at another one.
type doubleRuns struct {
	mutex sync.Mutex
	runs  map[string][]runLine
	// awake holds the times at which workers were last continued.
	awake map[string]time.Time
	found []string
}

// wake notes that a worker is continued.
func (d *doubleRuns) wake(worker string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.awake[worker] = time.Now()
}

// line notes a line of a worker.
func (d *doubleRuns) line(text []byte) {
	var l runLine
	if json.Unmarshal(text, &l) != nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if l.Event == "run" {
		d.runs[l.ID] = append(d.runs[l.ID], l)
		return
	}
	for _, later := range d.runs[l.ID] {
		if l.Event != "works without a connection" || later.Worker == l.Worker {
			continue
		}
		after := l.Ms - max(later.Ms, d.awake[l.Worker].UnixMilli())
		if d.began(l) < later.Ms && after > allowed.Milliseconds() {
			d.found = append(d.found, fmt.Sprintf("%s works on %s %d ms after it was reached again and %s went on with it", l.Worker, l.ID, after, later.Worker))
			delete(d.runs, l.ID)
			return
		}
	}
}

// began returns when the worker began to work on the request.
func (d *doubleRuns) began(l runLine) int64 {
	for _, r := range d.runs[l.ID] {
		if r.Worker == l.Worker {
			return r.Ms
		}
	}
	return l.Ms
}

// broken returns what was found.
func (d *doubleRuns) broken() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.found
}
