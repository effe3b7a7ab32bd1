package main

import "fmt"

const (
	// generators is the number of generations at a time: one machine of nine gets one
	// a second, which takes 5 to 6 s.
	generators = 6
	// regionMbps is the bandwidth between two regions in Mbit/s.
	regionMbps = 30
)

// playFlood lets one of six engines answer generations without end. The clients of
// generations read over the link between two regions.
func playFlood(p *play) (broken bool, err error) {
	arriving := &link{mbps: machineMbps}
	desks, err := p.startWorkers(3, "desk", "desk", 6, arriving)
	if err != nil {
		return false, err
	}
	engines, err := p.startWorkers(6, "model", engineService, 32, arriving)
	if err != nil {
		return false, err
	}
	p.store.put(names["config"], configuration(1, nil))
	e, err := p.startEdge("edge-1")
	if err != nil {
		return false, err
	}
	t := newTraffic()
	t.startCallers(p, e.front)
	leaving := &link{mbps: regionMbps}
	for i := range generators {
		t.startGenerator(p, &generator{
			name:  fmt.Sprintf("draft-%d", i),
			front: e.front,
			down:  leaving,
		})
	}
	sleepCalm()
	if p.trouble {
		engines[0].endless.Store(true)
		p.record.add("from now on worker %s answers generations without end", engines[0].id)
	}
	return t.judge(p, e, desks), nil
}
