package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	// reuseTime is more than bounds.reuse_after_s, and less than the three heartbeat
	// intervals of 1.2 s after which the entry of a crashed worker is removed.
	reuseTime = 2200 * time.Millisecond
	// entryTime is when that entry is removed.
	entryTime = 3600 * time.Millisecond
)

// playReuse lets the holder of a stream's copy crash for good, gives its address to a
// worker of another service, and then lets the engine of the stream crash.
func playReuse(p *play) (broken bool, err error) {
	if _, err := p.startWorkers(2, "desk", "desk", 6, nil); err != nil {
		return false, err
	}
	engines, err := p.startWorkers(4, "model", engineService, 32, nil)
	if err != nil {
		return false, err
	}
	for _, w := range engines {
		w.work, w.events, w.gap = 500*time.Millisecond, 140, 35*time.Millisecond
	}
	p.store.put(names["config"], configuration(1, nil))
	e, err := p.startEdge("edge-1")
	if err != nil {
		return false, err
	}
	sleepCalm()
	t := newTraffic()
	t.startGenerator(p, &generator{
		name:  "draft",
		front: e.front,
		body:  []byte("a brief"),
	})
	const id = "draft-0"
	time.Sleep(1500 * time.Millisecond)
	at := slices.IndexFunc(engines, func(w *worker) bool { return w.ran(id) })
	if at < 0 {
		return false, fmt.Errorf("no engine runs %s", id)
	}
	holder := slices.IndexFunc(engines, func(w *worker) bool { return w.listener.Addr().String() == engines[at].holderOf(id) })
	if holder < 0 {
		return false, fmt.Errorf("%s has no copy", id)
	}
	p.record.add("worker %s runs %s, and worker %s keeps its copy", engines[at].id, id, engines[holder].id)
	var other *worker
	if p.trouble {
		address := engines[holder].listener.Addr().String()
		engines[holder].crash()
		crashed := time.Now()
		time.Sleep(reuseTime)
		if other, err = startWorkerAt(address, p.store, p.record, nil, "desk-new", "desk", "zone-b", 6); err != nil {
			return false, err
		}
		p.record.add("worker desk-new of service desk starts at the address of worker %s", engines[holder].id)
		time.Sleep(200 * time.Millisecond)
		engines[at].crash()
		time.Sleep(entryTime - time.Since(crashed))
		p.store.remove(names["registry"] + engines[holder].id)
	}
	time.Sleep(5 * time.Second)
	t.stop()
	t.clients.Wait()
	p.record.add("generations: %d complete, %d not", t.whole, t.cut)
	ran := other != nil && other.ran(id)
	p.record.add("worker desk-new has run %s, which no configuration sends to its service: %t", id, ran)
	return ran, nil
}
