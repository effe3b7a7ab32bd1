package decl

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

type wireDeclaration struct {
	Regions    []wireRegion    `json:"regions,omitempty"`
	Links      []wireLink      `json:"links,omitempty"`
	Models     []wireModel     `json:"models,omitempty"`
	Plains     []wirePlain     `json:"plains,omitempty"`
	Workspaces []wireWorkspace `json:"workspaces,omitempty"`
	Moves      []wireMove      `json:"moves,omitempty"`
}

type wireRegion struct {
	Name    string   `json:"name"`
	Domains []string `json:"domains"`
}

type wireLink struct {
	From string `json:"from"`
	To   string `json:"to"`
	Rate int64  `json:"rate"`
}

type wireContract struct {
	Deadline string  `json:"deadline"`
	First    string  `json:"first"`
	Gap      string  `json:"gap"`
	Resume   string  `json:"resume"`
	Target   float64 `json:"target"`
}

type wireModel struct {
	Name     string        `json:"name"`
	Stable   string        `json:"stable"`
	Fenced   bool          `json:"fenced"`
	Contract *wireContract `json:"contract"`
}

type wirePlain struct {
	Name     string        `json:"name"`
	Contract *wireContract `json:"contract"`
	Routes   []wireRoute   `json:"routes"`
}

type wireRoute struct {
	Name       string `json:"name"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	Deadline   string `json:"deadline"`
}

type wireWorkspace struct {
	Name   string `json:"name"`
	Key    string `json:"key"`
	Weight int    `json:"weight"`
	Class  Class  `json:"class"`
}

type wireMove struct {
	Name     string  `json:"name"`
	Service  string  `json:"service"`
	From     string  `json:"from"`
	To       string  `json:"to"`
	Start    string  `json:"start"`
	Deadline string  `json:"deadline"`
	Trial    float64 `json:"trial"`
}

// Print returns the declaration as JSON. Equal declarations print equally,
// whatever the order in which their objects were added.
func (d *Declaration) Print() ([]byte, error) {
	b := &bytes.Buffer{}
	e := json.NewEncoder(b)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(d.wire()); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func (d *Declaration) wire() *wireDeclaration {
	w := &wireDeclaration{
		Regions:    convert(d.regions, wireOfRegion),
		Links:      convert(d.links, wireOfLink),
		Models:     convert(d.models, wireOfModel),
		Plains:     convert(d.plains, wireOfPlain),
		Workspaces: convert(d.workspaces, wireOfWorkspace),
		Moves:      convert(d.moves, wireOfMove),
	}
	order(w.Regions, func(r wireRegion) string { return r.Name })
	order(w.Links, func(l wireLink) string { return l.From + " " + l.To })
	order(w.Models, func(m wireModel) string { return m.Name })
	order(w.Plains, func(p wirePlain) string { return p.Name })
	order(w.Workspaces, func(s wireWorkspace) string { return s.Name })
	order(w.Moves, func(m wireMove) string { return m.Name })
	return w
}

func convert[T, W any](list []T, f func(T) W) []W {
	out := make([]W, 0, len(list))
	for _, e := range list {
		out = append(out, f(e))
	}
	return out
}

func order[W any](list []W, key func(W) string) {
	slices.SortStableFunc(list, func(a, b W) int { return cmp.Compare(key(a), key(b)) })
}

func wireOfRegion(r *Region) wireRegion {
	return wireRegion{
		Name:    r.name,
		Domains: slices.Sorted(slices.Values(r.domains)),
	}
}

func wireOfLink(l *Link) wireLink {
	return wireLink{
		From: min(l.from, l.to),
		To:   max(l.from, l.to),
		Rate: l.rate,
	}
}

func wireOfContract(c *Contract) *wireContract {
	if c == nil {
		return nil
	}
	return &wireContract{
		Deadline: c.deadline.String(),
		First:    c.first.String(),
		Gap:      c.gap.String(),
		Resume:   c.resume.String(),
		Target:   c.target,
	}
}

func wireOfModel(m *Model) wireModel {
	return wireModel{
		Name:     m.name,
		Stable:   m.stable,
		Fenced:   m.fenced,
		Contract: wireOfContract(m.contract),
	}
}

func wireOfPlain(p *Plain) wirePlain {
	w := wirePlain{
		Name:     p.name,
		Contract: wireOfContract(p.contract),
		Routes:   convert(p.routes, wireOfRoute),
	}
	order(w.Routes, func(r wireRoute) string { return r.Name })
	return w
}

func wireOfRoute(r *Route) wireRoute {
	return wireRoute{
		Name:       r.name,
		Method:     r.method,
		Path:       r.path,
		Idempotent: r.idempotent,
		Deadline:   r.deadline.String(),
	}
}

func wireOfWorkspace(w *Workspace) wireWorkspace {
	return wireWorkspace{
		Name:   w.name,
		Key:    w.key,
		Weight: w.weight,
		Class:  w.class,
	}
}

func wireOfMove(m *Move) wireMove {
	return wireMove{
		Name:     m.name,
		Service:  m.service,
		From:     m.from,
		To:       m.to,
		Start:    m.start.UTC().Format(time.RFC3339Nano),
		Deadline: m.deadline.UTC().Format(time.RFC3339Nano),
		Trial:    m.trial,
	}
}
