package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// callers and callPause give 79 calls a second, those of a whole small deployment,
	// since any number of its machines may be lost. A call takes 100 ms.
	callers   = 12
	callPause = 50 * time.Millisecond
	// generators is the number of generations at a time: one machine of nine gets one
	// a second, which takes 5 to 6 s.
	generators = 6
	engines    = 6
	// regionMbps is the bandwidth between two regions in Mbit/s.
	regionMbps = 30
	// contactTime is bounds.contact_ms.
	contactTime = 4 * time.Second
	// calmTime is how long the clients are served before the disruption.
	calmTime = contactTime + time.Second
	// floodTime bounds the disruption.
	floodTime = 20 * time.Second
	// maxLost is the number of calls that the rule excuses.
	maxLost = 3
)

// playFlood lets one of six engines answer generations without end. The clients of
// generations read over the link between two regions.
func playFlood(p *play) (broken bool, err error) {
	var desks, models []*worker
	arriving, leaving := &link{mbps: machineMbps}, &link{mbps: regionMbps}
	for i := range 3 {
		w, err := startWorker(p.store, p.record, arriving, fmt.Sprintf("desk-%d", i), "desk", zone(i), 6)
		if err != nil {
			return false, err
		}
		desks = append(desks, w)
	}
	for i := range engines {
		w, err := startWorker(p.store, p.record, arriving, fmt.Sprintf("model-%d", i), "llm", zone(i), 32)
		if err != nil {
			return false, err
		}
		models = append(models, w)
	}
	p.store.put(names["config"], configuration(1, nil))
	e, err := p.startEdge("edge-1")
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	var mutex sync.Mutex
	var outcomes []outcome
	whole, cut := 0, 0
	for i := range callers {
		clients.Go(func() {
			c := &caller{
				name:   fmt.Sprintf("client %d", i),
				front:  e.front,
				record: p.record,
				body:   []byte("a loom run"),
			}
			defer c.close()
			// The callers do not send together.
			time.Sleep(time.Duration(i) * (100*time.Millisecond + callPause) / callers)
			for n := 0; ctx.Err() == nil; n++ {
				o, ok := c.call(fmt.Sprintf("call-%d-%d", i, n), "/book/x")
				if ok {
					mutex.Lock()
					outcomes = append(outcomes, o)
					mutex.Unlock()
				}
				time.Sleep(callPause)
			}
		})
	}
	for i := range generators {
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				complete := generate(ctx, e.front, p.record, leaving, fmt.Sprintf("draft-%d-%d", i, n))
				mutex.Lock()
				if complete {
					whole++
				} else {
					cut++
				}
				mutex.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(calmTime)
	if p.trouble {
		models[0].endless.Store(true)
		p.record.add("from now on worker %s answers generations without end", models[0].id)
	}
	select {
	case <-e.done:
		time.Sleep(time.Second)
	case <-time.After(floodTime):
	}
	stop()
	clients.Wait()
	peak, killed := e.memory()
	answered, lost := 0, 0
	for _, o := range outcomes {
		switch {
		case o.status != 0:
			answered++
		case o.closed && o.kept && ranAt(desks, o.id):
			lost++
		}
	}
	p.record.add("generations: %d complete, %d not; calls: %d answered", whole, cut, answered)
	p.record.add("peak memory %d MB of %d, ended for it by the platform: %t", peak, memoryMB, killed)
	p.record.add("calls from kept connections that ran and whose connection was closed without an answer: %d, %d excused", lost, maxLost)
	return lost > maxLost, nil
}

func ranAt(workers []*worker, id string) bool {
	for _, w := range workers {
		if w.ran(id) {
			return true
		}
	}
	return false
}

func zone(i int) string { return []string{"zone-a", "zone-b"}[i%2] }
