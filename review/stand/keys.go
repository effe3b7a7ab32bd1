package main

import (
	"fmt"
	"time"
)

const (
	// applyTime is bounds.config_apply_ms.
	applyTime = 2500 * time.Millisecond
	// keyCalls is the number of calls with each key.
	keyCalls = 5
)

// playKeys removes the only workspace from the configuration and then sends calls
// with a key that was never configured, and for the record some without a key.
func playKeys(p *play) (broken bool, err error) {
	desks, err := p.startWorkers(1, "desk", "desk", 6, nil)
	if err != nil {
		return false, err
	}
	keep := []any{map[string]any{"name": "mill", "api_keys": []string{"key-mill"}}}
	p.store.put(names["config"], configuration(1, keep))
	e, err := p.startEdge("edge-1")
	if err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	if p.trouble {
		p.store.put(names["config"], configuration(2, []any{}))
		p.record.add("the store has accepted version 2, whose list of workspaces is empty")
	} else {
		p.store.put(names["config"], configuration(2, keep))
		p.record.add("the store has accepted version 2, with the same workspaces")
	}
	time.Sleep(applyTime + 500*time.Millisecond)
	foreign, without := 0, 0
	for i, authorization := range []string{"Bearer never-configured", ""} {
		c := &caller{
			name:          fmt.Sprintf("client %d", i),
			front:         e.front,
			record:        p.record,
			authorization: authorization,
			body:          []byte("a loom run"),
		}
		for n := range keyCalls {
			id := fmt.Sprintf("call-%d-%d", i, n)
			if _, ok := c.call(id, "/book/x"); !ok {
				return false, fmt.Errorf("%s can't connect", c.name)
			}
			switch {
			case !desks[0].ran(id):
			case authorization == "":
				without++
			default:
				foreign++
			}
		}
		c.close()
	}
	p.record.add("calls that ran without a key: %d (not judged)", without)
	p.record.add("calls that ran with a key that no configuration ever held: %d", foreign)
	return foreign > 0, nil
}
