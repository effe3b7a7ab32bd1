package entry

import "time"

// Spec lists the properties of an upstream in the registry. Its fields are
// exported for construction only.
type Spec struct {
	// ID identifies one incarnation of the upstream.
	ID string
	// StartedAt is the start time in Unix milliseconds, which distinguishes
	// incarnations with the same id, or 0 if it is unknown.
	StartedAt int64
	Service   string
	// Address is host:port.
	Address string
	Domain  string
	Region  string
	Version string
	Slots   int
	// Leaving is true once the upstream accepts no new work.
	Leaving bool
	// Cold is the time after its start for which the upstream is slow.
	Cold time.Duration
}

// Entry is the registry's entry of an upstream. It is immutable.
type Entry struct {
	spec Spec
}

// New returns an entry with the properties of s.
func New(s Spec) Entry {
	return Entry{
		spec: s,
	}
}

// WithIncarnation returns a copy of e for another incarnation of the upstream.
func (e Entry) WithIncarnation(id string, startedAt int64) Entry {
	e.spec.ID, e.spec.StartedAt, e.spec.Leaving = id, startedAt, false
	return e
}

// ID returns the id of the incarnation.
func (e Entry) ID() string { return e.spec.ID }

// StartedAt returns the start time in Unix milliseconds, which distinguishes
// incarnations with the same id, or 0 if it is unknown.
func (e Entry) StartedAt() int64 { return e.spec.StartedAt }

// Service returns the name of the upstream's service.
func (e Entry) Service() string { return e.spec.Service }

// Address returns the address as host:port.
func (e Entry) Address() string { return e.spec.Address }

// Domain returns the failure domain.
func (e Entry) Domain() string { return e.spec.Domain }

// Region returns the region of the failure domain, or "" if it is unknown.
func (e Entry) Region() string { return e.spec.Region }

// Version returns the version of the upstream's software.
func (e Entry) Version() string { return e.spec.Version }

// Slots returns the number of requests that the upstream works on at once, or 0 if it is
// unknown.
func (e Entry) Slots() int { return e.spec.Slots }

// Leaving reports whether the upstream accepts no new work.
func (e Entry) Leaving() bool { return e.spec.Leaving }
