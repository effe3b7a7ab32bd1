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
	// maxLost is the number of calls that the rule excuses.
	maxLost = 3
	// contactTime is bounds.contact_ms.
	contactTime = 4 * time.Second
	// calmTime is how long the clients are served before the disruption.
	calmTime = contactTime + time.Second
	// troubleTime bounds the disruption.
	troubleTime = 20 * time.Second
)

// traffic is what clients send to one process, and what became of it.
type traffic struct {
	ctx     context.Context
	stop    context.CancelFunc
	clients sync.WaitGroup

	mutex    sync.Mutex
	outcomes []outcome
	// whole and cut count the generations that were complete and those that were not.
	whole int
	cut   int
}

func newTraffic() *traffic {
	t := &traffic{}
	t.ctx, t.stop = context.WithCancel(context.Background())
	return t
}

// startCallers starts the clients that send calls on kept connections.
func (t *traffic) startCallers(p *play, front string) {
	for i := range callers {
		t.clients.Go(func() {
			c := &caller{
				name:   fmt.Sprintf("client %d", i),
				front:  front,
				record: p.record,
				body:   []byte("a loom run"),
			}
			defer c.close()
			// The callers do not send together.
			time.Sleep(time.Duration(i) * (100*time.Millisecond + callPause) / callers)
			for n := 0; t.ctx.Err() == nil; n++ {
				o, ok := c.call(fmt.Sprintf("call-%d-%d", i, n), "/book/x")
				if ok {
					t.mutex.Lock()
					t.outcomes = append(t.outcomes, o)
					t.mutex.Unlock()
				}
				time.Sleep(callPause)
			}
		})
	}
}

// startGenerator starts a client that sends generations one after the other.
func (t *traffic) startGenerator(p *play, g *generator) {
	t.clients.Go(func() {
		for n := 0; t.ctx.Err() == nil; n++ {
			complete := g.generate(t.ctx, p.record, fmt.Sprintf("%s-%d", g.name, n))
			t.mutex.Lock()
			if complete {
				t.whole++
			} else {
				t.cut++
			}
			t.mutex.Unlock()
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// judge waits until the process has ended or the disruption has lasted long enough,
// and reports whether more calls were lost than the rule excuses.
func (t *traffic) judge(p *play, e *edge, desks []*worker) bool {
	select {
	case <-e.done:
		time.Sleep(time.Second)
	case <-time.After(troubleTime):
	}
	t.stop()
	t.clients.Wait()
	peak, killed := e.memory()
	answered, lost := 0, 0
	for _, o := range t.outcomes {
		switch {
		case o.status != 0:
			answered++
		case o.closed && o.kept && ranAt(desks, o.id):
			lost++
		}
	}
	p.record.add("generations: %d complete, %d not; calls: %d answered", t.whole, t.cut, answered)
	p.record.add("peak memory %d MB of %d, ended for it by the platform: %t", peak, memoryMB, killed)
	p.record.add("calls from kept connections that ran and whose connection was closed without an answer: %d, %d excused", lost, maxLost)
	return lost > maxLost
}

func ranAt(workers []*worker, id string) bool {
	for _, w := range workers {
		if w.ran(id) {
			return true
		}
	}
	return false
}

// startWorkers starts n workers of a service in turn in both zones.
func (p *play) startWorkers(n int, name, service string, slots int, l *link) ([]*worker, error) {
	var list []*worker
	for i := range n {
		zone := []string{"zone-a", "zone-b"}[i%2]
		w, err := startWorker(p.store, p.record, l, fmt.Sprintf("%s-%d", name, i), service, zone, slots)
		if err != nil {
			return nil, err
		}
		list = append(list, w)
	}
	return list, nil
}

// sleepCalm waits until the process counts as in touch and has served its clients.
func sleepCalm() { time.Sleep(calmTime) }
