package main

import (
	"bytes"
	"fmt"
	"time"
)

const (
	// uploaders is the number of generations at a time of a whole small deployment: 9.4
	// a second, which take 5.2 s each.
	uploaders = 49
	// maxBody is limits.max_body_bytes of the configuration.
	maxBody = 4 << 20
	// smallBody is the mean size of a body on the sheet.
	smallBody = 5000
)

// playUpload sends generations whose bodies have the largest permitted size.
func playUpload(p *play) (broken bool, err error) {
	arriving := &link{mbps: machineMbps}
	desks, err := p.startWorkers(3, "desk", "desk", 6, arriving)
	if err != nil {
		return false, err
	}
	engines, err := p.startWorkers(6, "model", engineService, 32, arriving)
	if err != nil {
		return false, err
	}
	for _, w := range engines {
		w.work, w.events, w.gap = time.Second, 140, 30*time.Millisecond
	}
	p.store.put(names["config"], configuration(1, nil))
	e, err := p.startEdge("edge-1")
	if err != nil {
		return false, err
	}
	t := newTraffic()
	t.startCallers(p, e.front)
	sleepCalm()
	body := bytes.Repeat([]byte("x"), smallBody)
	if p.trouble {
		body = bytes.Repeat([]byte("x"), maxBody)
		p.record.add("from now on clients send generations with bodies of %d bytes", maxBody)
	}
	for i := range uploaders {
		t.startGenerator(p, &generator{
			name:  fmt.Sprintf("draft-%d", i),
			front: e.front,
			body:  body,
			up:    arriving,
		})
		time.Sleep(100 * time.Millisecond)
	}
	return t.judge(p, e, desks), nil
}
