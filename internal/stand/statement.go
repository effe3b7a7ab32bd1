package stand

import "time"

// Statement is what an upstream states about itself in the head of an answer,
// whatever the answer is about. It is immutable.
type Statement struct {
	instance string
	leaving  bool
	rest     time.Duration
	// limit is the requests a second that the upstream accepts, or 0 if the answer
	// states none.
	limit float64
	// unlimitedSince is when the request was sent whose answer states no limit, or
	// zero if that is not known.
	unlimitedSince time.Time
	invalid        []InvalidField
}

// InvalidField is a header field of an answer that was ignored.
type InvalidField struct {
	name  string
	value string
	// once is true if only the first value of the field is reported.
	once bool
}

// Name returns the name of the field.
func (f InvalidField) Name() string { return f.name }

// Value returns the value of the field.
func (f InvalidField) Value() string { return f.value }

// NewStatement returns a statement of the incarnation with the given id, or of
// the one that was expected to answer if instance is "".
func NewStatement(instance string) Statement {
	return Statement{
		instance: instance,
	}
}

// WithLeaving returns a copy of s by an upstream that accepts no new work.
func (s Statement) WithLeaving() Statement {
	s.leaving = true
	return s
}

// WithRest returns a copy of s by an upstream that wants no messages for d.
func (s Statement) WithRest(d time.Duration) Statement {
	s.rest = d
	return s
}

// WithLimit returns a copy of s by an upstream that accepts a number of requests a
// second from all VMs together.
func (s Statement) WithLimit(limit float64) Statement {
	s.limit = limit
	return s
}

// WithoutLimit returns a copy of s by an upstream that states no limit in the answer to
// a request that was sent at the given time.
func (s Statement) WithoutLimit(sent time.Time) Statement {
	s.unlimitedSince = sent
	return s
}

// WithInvalid returns a copy of s with a field that was ignored.
func (s Statement) WithInvalid(name, value string) Statement {
	s.invalid = append(s.invalid[:len(s.invalid):len(s.invalid)], InvalidField{
		name:  name,
		value: value,
	})
	return s
}

// WithInvalidOnce is WithInvalid for a field whose value changes with each answer, which
// is reported once for an incarnation, whatever its later values are.
func (s Statement) WithInvalidOnce(name, value string) Statement {
	s = s.WithInvalid(name, value)
	s.invalid[len(s.invalid)-1].once = true
	return s
}

// Empty reports whether the upstream states nothing.
func (s Statement) Empty() bool {
	return !s.leaving && s.rest <= 0 && s.limit <= 0 && s.unlimitedSince.IsZero() && len(s.invalid) == 0
}

// Instance returns the id of the incarnation, or "" if the answer has none.
func (s Statement) Instance() string { return s.instance }

// Leaving reports whether the upstream accepts no new work.
func (s Statement) Leaving() bool { return s.leaving }

// Rest returns how long the upstream wants no messages, or 0.
func (s Statement) Rest() time.Duration { return s.rest }

// Limit returns the requests a second that the upstream accepts from all VMs, or 0 if
// the answer states no limit.
func (s Statement) Limit() float64 { return s.limit }

// UnlimitedSince returns when the request was sent whose answer states no limit, or the
// zero time if that is not known or the answer states one.
func (s Statement) UnlimitedSince() time.Time { return s.unlimitedSince }

// Invalid returns the fields that were ignored. The caller must not modify the
// slice.
func (s Statement) Invalid() []InvalidField { return s.invalid }
