package blame

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// MaxParts is the number of parts of a prompt that are considered.
const MaxParts = 16

// maxName is the length in bytes of the longest name of a part that is kept.
const maxName = 64

// Name returns the name under which a prompt part is known, which is bounded in
// length.
func Name(part string) string {
	if len(part) <= maxName {
		return part
	}
	sum := sha256.Sum256([]byte(part))
	return hex.EncodeToString(sum[:])
}

// RunSpec lists the properties of a run of a prompt at an engine. Its fields are
// exported for construction only.
type RunSpec struct {
	Service string
	// Version is the version of the engine's software.
	Version string
	// Engine identifies one incarnation of the engine.
	Engine string
	// Domain is the engine's failure domain.
	Domain string
	// Session is the part of the prompt that is specific to the request.
	Session string
	// Parts holds the Name of the other parts, of which the first MaxParts are considered.
	Parts []string
}

// Run is a run of a prompt at an engine, which either survived it or was lost. It
// is immutable.
type Run struct {
	spec RunSpec
	at   time.Time
}

// NewRun returns the run of s that survived or was lost at a time.
func NewRun(at time.Time, s RunSpec) Run {
	s.Session = Name(s.Session)
	s.Parts = slices.Clone(s.Parts[:min(len(s.Parts), MaxParts)])
	slices.Sort(s.Parts)
	s.Parts = slices.Compact(s.Parts)
	return Run{
		spec: s,
		at:   at,
	}
}

// Service returns the name of the engine's service.
func (r Run) Service() string { return r.spec.Service }

// Version returns the version of the engine's software.
func (r Run) Version() string { return r.spec.Version }

// Engine returns the incarnation of the engine.
func (r Run) Engine() string { return r.spec.Engine }

// Domain returns the engine's failure domain.
func (r Run) Domain() string { return r.spec.Domain }

// Session returns the part of the prompt that is specific to the request.
func (r Run) Session() string { return r.spec.Session }

// Parts returns the other parts of the prompt, sorted. The caller must not change
// the slice.
func (r Run) Parts() []string { return r.spec.Parts }

// At returns the time at which the run had survived or was lost.
func (r Run) At() time.Time { return r.at }

// has reports whether the prompt has the part.
func (r Run) has(part string) bool {
	_, ok := slices.BinarySearch(r.spec.Parts, part)
	return ok
}

// hasAll reports whether the prompt has all of the parts.
func (r Run) hasAll(parts []string) bool {
	return !slices.ContainsFunc(parts, func(p string) bool { return !r.has(p) })
}
