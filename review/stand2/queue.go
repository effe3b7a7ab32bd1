package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// slowTime and slowPercent are those of a slow model worker in the site file.
	slowTime    = 7300 * time.Millisecond
	slowPercent = 460
	// groupSize is the number of streams that clients send at once every groupTime.
	groupSize = 20
	groupTime = 13 * time.Second
	groups    = 7
)

// queuedRun makes one model worker after the other slow. Workers have four slots and a short
// queue, and clients send streams in groups. It checks that no worker works on a request that
// goes on at another one.
func queuedRun(f *fleet, trouble bool) ([]string, error) {
	const workers = 8
	watch := &overlaps{
		runs: make(map[string]map[string]*span),
	}
	f.observe = watch.line
	if err := startDeployment(f, workers, 1, 3, "-slots", "4", "-queue", "8", "-step", "45ms"); err != nil {
		return nil, err
	}
	ignore := func(request, result) {}
	waits := []func(){f.streams(steadyRate, groups*groupTime, longStream, ignore)}
	for k := range groups {
		time.Sleep(groupTime - slowTime)
		waits = append(waits, f.streams(200, groupSize*time.Second/200, shortStream, ignore))
		time.Sleep(200 * time.Millisecond)
		id := fmt.Sprintf("i-model%d-0", (k%3)*stubbornEvery)
		if trouble {
			f.slow(id, slowPercent)
		}
		time.Sleep(slowTime)
		if trouble {
			f.slow(id, 100)
		}
	}
	for _, wait := range waits {
		wait()
	}
	return watch.broken(), nil
}

const (
	// steadyRate is the number of long streams a second beside the groups.
	steadyRate = 1.7
	// longStream and shortStream are numbers of events.
	longStream  = 190
	shortStream = 90
)

// slow makes a worker take so many percent of the usual time.
func (f *fleet) slow(id string, percent int) {
	var entry struct {
		Address string `json:"address"`
	}
	if json.Unmarshal(f.store.values(name("registry"))[name("registry")+id], &entry) != nil {
		return
	}
	if resp, err := http.Get(fmt.Sprintf("http://%s%s?percent=%d", entry.Address, slowPath, percent)); err == nil {
		_ = resp.Body.Close()
	}
}

// span is the time in which a worker works on a request, in Unix milliseconds.
type span struct {
	begin int64
	ended bool
	found bool
}

// overlaps finds workers that work on the same request.
type overlaps struct {
	mutex sync.Mutex
	// runs holds the latest run of each worker by request and worker.
	runs  map[string]map[string]*span
	found []string
}

// line notes a line of a worker.
func (o *overlaps) line(text []byte) {
	var l runLine
	if json.Unmarshal(text, &l) != nil || l.ID == "" {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.runs[l.ID] == nil {
		o.runs[l.ID] = make(map[string]*span)
	}
	switch l.Event {
	case "run":
		o.runs[l.ID][l.Worker] = &span{
			begin: l.Ms,
		}
		return
	case "answered", "dropped", "stopped":
		if s := o.runs[l.ID][l.Worker]; s != nil {
			s.ended = true
		}
		return
	}
	own := o.runs[l.ID][l.Worker]
	for worker, other := range o.runs[l.ID] {
		if worker == l.Worker || own == nil || own.found || other.ended {
			continue
		}
		if after := l.Ms - max(own.begin, other.begin); after > allowed.Milliseconds() {
			own.found = true
			o.found = append(o.found, fmt.Sprintf("%s works on %s, %d ms after both it and %s had begun", l.Worker, l.ID, after, worker))
		}
	}
}

// broken returns what was found.
func (o *overlaps) broken() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.found
}
