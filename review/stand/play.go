package main

import (
	"net"
	"net/http"
	"os"
)

// play is one run of a script.
type play struct {
	store        *store
	storeAddress string
	record       *record
	// trouble is false for a run without the disruption.
	trouble bool
	folder  string
	edges   []*edge
}

// newPlay starts the stand-in of the store.
func newPlay(recordPath string, trouble bool) (*play, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &play{
		store:        newStore(),
		storeAddress: l.Addr().String(),
		record:       r,
		trouble:      trouble,
		folder:       folder,
	}
	go func() { _ = http.Serve(l, p.store) }()
	return p, nil
}

// startEdge starts one process of the system and waits until it is ready.
func (p *play) startEdge(name string) (*edge, error) {
	e, err := startEdge(name, p.folder, p.storeAddress)
	if err == nil {
		p.edges = append(p.edges, e)
	}
	return e, err
}

// end ends all processes.
func (p *play) end() {
	for _, e := range p.edges {
		e.end()
	}
	_ = os.RemoveAll(p.folder)
}

// configuration returns a configuration with the list of workspaces, or without one
// if it is nil.
func configuration(version int, workspaces []any) map[string]any {
	c := map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "book", "host": host, "path_prefix": "/book/", "kind": "non_idempotent", "service": "desk",
				"timeout_ms": 1500, "goal_ms": 150, "attempts": 1, "priority": 2,
			},
			map[string]any{
				"name": "draft", "host": host, "path_prefix": "/draft/", "kind": "streaming", "service": engineService,
				"timeout_ms": 25000, "goal_ms": 4500, "attempts": 5, "priority": 1, "resumable": true, "gap_aim_ms": 700, "sticky": true,
			},
		},
		"services": []any{
			map[string]any{"name": "desk", "health_path": healthPath},
			map[string]any{
				"name": engineService, "health_path": healthPath,
				"engine": map[string]any{"slots": 32, "kv_capacity": 55000, "backups": true, "models": []any{map[string]any{"name": "m"}}},
			},
		},
		"limits": map[string]any{"max_header_bytes": 8192, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if workspaces != nil {
		c["tenants"] = workspaces
	}
	return c
}

// healthPath is the path of the health checks.
const healthPath = "/healthz"
