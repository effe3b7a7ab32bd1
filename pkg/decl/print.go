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

// Print returns the declaration as indented JSON. The result does not depend on
// the order in which objects were added.
func (d *Declaration) Print() ([]byte, error) {
	b := &bytes.Buffer{}
	e := json.NewEncoder(b)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(d.toWire()); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// toWire returns the JSON form of the declaration, with its objects sorted.
func (d *Declaration) toWire() *wireDeclaration {
	w := &wireDeclaration{
		Regions:    mapSlice(d.regions, regionToWire),
		Links:      mapSlice(d.links, linkToWire),
		Models:     mapSlice(d.models, modelToWire),
		Plains:     mapSlice(d.plains, plainToWire),
		Workspaces: mapSlice(d.workspaces, workspaceToWire),
		Moves:      mapSlice(d.moves, moveToWire),
	}
	sortByKey(w.Regions, func(r wireRegion) string { return r.Name })
	sortByKey(w.Links, func(l wireLink) string { return l.From + " " + l.To })
	sortByKey(w.Models, func(m wireModel) string { return m.Name })
	sortByKey(w.Plains, func(p wirePlain) string { return p.Name })
	sortByKey(w.Workspaces, func(s wireWorkspace) string { return s.Name })
	sortByKey(w.Moves, func(m wireMove) string { return m.Name })
	return w
}

func mapSlice[T, W any](list []T, f func(T) W) []W {
	out := make([]W, 0, len(list))
	for _, e := range list {
		out = append(out, f(e))
	}
	return out
}

func sortByKey[W any](list []W, key func(W) string) {
	slices.SortStableFunc(list, func(a, b W) int { return cmp.Compare(key(a), key(b)) })
}

func regionToWire(r *Region) wireRegion {
	return wireRegion{
		Name:    r.name,
		Domains: slices.Sorted(slices.Values(r.domains)),
	}
}

func linkToWire(l *Link) wireLink {
	return wireLink{
		From: min(l.from, l.to),
		To:   max(l.from, l.to),
		Rate: l.rate,
	}
}

func contractToWire(c *Contract) *wireContract {
	if c == nil {
		return nil
	}
	return &wireContract{
		Deadline: c.deadline.String(),
		First:    c.firstToken.String(),
		Gap:      c.tokenGap.String(),
		Resume:   c.resume.String(),
		Target:   c.target,
	}
}

func modelToWire(m *Model) wireModel {
	return wireModel{
		Name:     m.name,
		Stable:   m.stable,
		Fenced:   m.fenced,
		Contract: contractToWire(m.contract),
	}
}

func plainToWire(p *Plain) wirePlain {
	w := wirePlain{
		Name:     p.name,
		Contract: contractToWire(p.contract),
		Routes:   mapSlice(p.routes, routeToWire),
	}
	sortByKey(w.Routes, func(r wireRoute) string { return r.Name })
	return w
}

func routeToWire(r *Route) wireRoute {
	return wireRoute{
		Name:       r.name,
		Method:     r.method,
		Path:       r.path,
		Idempotent: r.idempotent,
		Deadline:   r.deadline.String(),
	}
}

func workspaceToWire(w *Workspace) wireWorkspace {
	return wireWorkspace{
		Name:   w.name,
		Key:    w.key,
		Weight: w.weight,
		Class:  w.class,
	}
}

func moveToWire(m *Move) wireMove {
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
