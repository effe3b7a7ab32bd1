package where

import (
	"fmt"
	"slices"
	"strings"
)

// Report is the explanation of one request at one VM. Its fields are exported for JSON. Times
// and ages are in ms.
type Report struct {
	// VM is the name of the VM, and Table the version of its routing table.
	VM    string `json:"vm"`
	Table int64  `json:"table"`
	Route string `json:"route"`
	Kind  string `json:"kind"`
	// Workspace is the name of the key's workspace, or "".
	Workspace string `json:"workspace"`
	// Services holds the services that the route may choose, in its order.
	Services []Service `json:"services"`
}

// Service is the course of the request if the route chooses a service.
type Service struct {
	Service string `json:"service"`
	// Fraction is the part of the route's requests that the service gets.
	Fraction float64 `json:"fraction"`
	// Target is the version that the service moves to, or "". New tells whether the
	// request is assigned to it.
	Target string `json:"target"`
	New    bool   `json:"new"`
	// Asked holds the engines that are asked for their state or cached prompt first.
	Asked     []string   `json:"asked"`
	Answer    Answer     `json:"answer"`
	Upstreams []Upstream `json:"upstreams"`
}

// Answer is what becomes of the request.
type Answer struct {
	// Kind is "send", "refuse" or "wait".
	Kind   string `json:"kind"`
	Reason string `json:"reason"`
	// After is the time from arrival to the answer.
	After int64 `json:"after"`
	// Upstream, Address, Version and Rank are set for "send". Holder is the upstream that
	// gets a standby copy of the run, or "".
	Upstream string `json:"upstream"`
	Address  string `json:"address"`
	Version  string `json:"version"`
	Holder   string `json:"holder"`
	Rank     int    `json:"rank"`
	// Status and Retry, the least Retry-After time, are set for "refuse".
	Status int   `json:"status"`
	Retry  int64 `json:"retry"`
}

// Upstream is what the VM knows of an upstream of the service.
type Upstream struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Version string `json:"version"`
	State   string `json:"state"`
	// Excluded is why the request must not be sent there, or "".
	Excluded string `json:"excluded"`
	// First is true if the upstream is among those that are compared first: all that may be
	// sent the request, or the engines that its prompt selects.
	First bool `json:"first"`
	// Near is true if the random addition to scores can make it the choice.
	Near bool `json:"near"`
	// Score is the sum of the parts without the random addition; the least one wins.
	Score float64            `json:"score"`
	Parts map[string]float64 `json:"parts"`
	// Attempts and Tokens are this VM's own. Others is the expected number of requests of
	// other VMs.
	Attempts int     `json:"attempts"`
	Tokens   int     `json:"tokens"`
	Others   float64 `json:"others"`
	Slots    int     `json:"slots"`
	// Running, Waiting and Used are of the state that an engine reported last.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Used    int `json:"used"`
	// Speed is the expected time that work takes, where 1 is usual.
	Speed float64 `json:"speed"`
	// Limit is the requests a second of all VMs that the upstream accepts, or 0. Free is the
	// time until the VM's share of it, or the upstream's rest, permits the request.
	Limit float64 `json:"limit"`
	Free  int64   `json:"free"`
	// Ages holds the age of each kind of evidence.
	Ages map[string]int64 `json:"ages"`
}

// ErrorBody is the JSON body of a response without an explanation.
type ErrorBody struct {
	VM string `json:"vm"`
	// Field is the name of an invalid field, or "".
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// Text returns the report for people.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "VM %s, table %d\nroute %s (%s)", r.VM, r.Table, r.Route, r.Kind)
	if r.Workspace != "" {
		fmt.Fprintf(&b, ", workspace %s", r.Workspace)
	}
	b.WriteString("\n")
	for i := range r.Services {
		r.Services[i].write(&b)
	}
	return b.String()
}

func (s *Service) write(b *strings.Builder) {
	fmt.Fprintf(b, "service %s (%.4g%% of the route's requests)\n", s.Service, 100*s.Fraction)
	switch {
	case s.Target != "" && s.New:
		fmt.Fprintf(b, "  version: %s, which the service moves to\n", s.Target)
	case s.Target != "":
		fmt.Fprintf(b, "  version: the present one; the service moves to %s\n", s.Target)
	}
	if len(s.Asked) > 0 {
		fmt.Fprintf(b, "  asked first: %s\n", strings.Join(s.Asked, " "))
	}
	s.Answer.write(b)
	for i := range s.Upstreams {
		s.Upstreams[i].write(b)
	}
}

func (a *Answer) write(b *strings.Builder) {
	switch a.Kind {
	case "send":
		fmt.Fprintf(b, "  sent to %s (%s, version %s) after %d ms: %s", a.Upstream, a.Address, a.Version, a.After, a.Reason)
		if a.Holder != "" {
			fmt.Fprintf(b, "; copy at %s", a.Holder)
		}
	case "refuse":
		fmt.Fprintf(b, "  refused with %d after %d ms: %s", a.Status, a.After, a.Reason)
		if a.Retry > 0 {
			fmt.Fprintf(b, "; retry after %d ms", a.Retry)
		}
	default:
		fmt.Fprintf(b, "  waits for more than %d ms: %s", a.After, a.Reason)
	}
	b.WriteString("\n")
}

func (u *Upstream) write(b *strings.Builder) {
	mark := " "
	switch {
	case u.Near:
		mark = "*"
	case u.First:
		mark = "+"
	}
	fmt.Fprintf(b, "%s %7.3f  %s %s %s/%s version %s %s", mark, u.Score, u.ID, u.Address, u.Region, u.Domain, u.Version, u.State)
	if u.Free > 0 {
		fmt.Fprintf(b, " for %d ms", u.Free)
	}
	if u.Excluded != "" {
		fmt.Fprintf(b, ", excluded: %s", u.Excluded)
	}
	fmt.Fprintf(b, "\n           score:%s\n", words(u.Parts, "%s %.3f"))
	fmt.Fprintf(b, "           attempts %d of %d slots, others %.1f, tokens %d, speed %.2f", u.Attempts, u.Slots, u.Others, u.Tokens, u.Speed)
	if _, ok := u.Ages["state"]; ok {
		fmt.Fprintf(b, ", running %d, waiting %d, used %d", u.Running, u.Waiting, u.Used)
	}
	if u.Limit > 0 {
		fmt.Fprintf(b, ", limit %.4g/s", u.Limit)
	}
	fmt.Fprintf(b, "\n           evidence:%s\n", words(u.Ages, "%s %d ms ago"))
}

// words returns the entries of m in the order of their names, each after a space, or
// " none".
func words[V float64 | int64](m map[string]V, format string) string {
	if len(m) == 0 {
		return " none"
	}
	var list []string
	for name, value := range m {
		list = append(list, fmt.Sprintf(format, name, value))
	}
	slices.Sort(list)
	return " " + strings.Join(list, ", ")
}
