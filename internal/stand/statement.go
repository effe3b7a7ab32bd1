package stand

import "time"

// Statement is what an upstream states about itself in the head of an answer,
// whatever the answer is about. It is immutable.
type Statement struct {
	instance string
	leaving  bool
	rest     time.Duration
	invalid  []InvalidField
}

// InvalidField is a header field of an answer that was ignored.
type InvalidField struct {
	name  string
	value string
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

// WithInvalid returns a copy of s with a field that was ignored.
func (s Statement) WithInvalid(name, value string) Statement {
	s.invalid = append(s.invalid[:len(s.invalid):len(s.invalid)], InvalidField{
		name:  name,
		value: value,
	})
	return s
}

// Empty reports whether the upstream states nothing.
func (s Statement) Empty() bool { return !s.leaving && s.rest <= 0 && len(s.invalid) == 0 }

// Instance returns the id of the incarnation, or "" if the answer has none.
func (s Statement) Instance() string { return s.instance }

// Leaving reports whether the upstream accepts no new work.
func (s Statement) Leaving() bool { return s.leaving }

// Rest returns how long the upstream wants no messages, or 0.
func (s Statement) Rest() time.Duration { return s.rest }

// Invalid returns the fields that were ignored. The caller must not modify the
// slice.
func (s Statement) Invalid() []InvalidField { return s.invalid }
