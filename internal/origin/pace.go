package origin

import "time"

const (
	// calmTime is the time after a restoration in which the VMs write again what the
	// store has lost. The VM that wrote it before comes first, the others follow after
	// authorTime, and the last of them rewriteSpread later.
	calmTime      = 2500 * time.Millisecond
	authorTime    = time.Second
	rewriteSpread = time.Second
)

// Pace decides when a VM may write a key that all VMs may write. It is not safe for
// concurrent use.
type Pace struct {
	// wrote holds the revision of this VM's latest write of each key.
	wrote map[string]uint64
	// own holds the keys whose latest value was this VM's before the restoration.
	own        map[string]bool
	restoredAt time.Time
}

// NewPace returns the pace before the first restoration.
func NewPace() *Pace {
	return &Pace{
		wrote: make(map[string]uint64),
	}
}

// Wrote notes a write of this VM.
func (p *Pace) Wrote(key string, revision uint64) { p.wrote[key] = revision }

// Restored starts the time in which the VMs write again what the store has lost.
// revisions holds the revisions of the keys before.
func (p *Pace) Restored(now time.Time, revisions map[string]uint64) {
	p.restoredAt, p.own = now, make(map[string]bool)
	for key, revision := range p.wrote {
		p.own[key] = revision >= revisions[key]
	}
	clear(p.wrote)
}

// Calm reports whether what the store has lost has been written again. Until then no VM
// adds a verdict of its own, since another one may know of an earlier verdict that the
// store has lost.
func (p *Pace) Calm(now time.Time) bool {
	return p.restoredAt.IsZero() || !now.Before(p.restoredAt.Add(calmTime))
}

// Wait returns how long a VM waits until it writes a key. The VM has the given turn among
// a number of VMs, and turns are usually delay apart.
func (p *Pace) Wait(now time.Time, key string, turn, vms int, delay time.Duration) time.Duration {
	switch {
	case delay == 0 || p.Calm(now):
		return time.Duration(turn) * delay
	case p.own[key]:
		return 0
	default:
		return authorTime + time.Duration(turn)*min(delay, rewriteSpread/time.Duration(max(vms, 1)))
	}
}
