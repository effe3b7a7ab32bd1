// Package pace spaces the attempts of a stream that end without output. Upstreams that crash
// together are back after about a second, and the few attempts that a stream has must not be
// used up before that.
package pace

import "time"

const (
	// firstPause is the wait before the first attempt that is not sent at once. It doubles
	// with each further one, up to maxPause.
	firstPause = 150 * time.Millisecond
	maxPause   = 1200 * time.Millisecond
	// recent is the time within which an upstream must have sent something to get the last
	// attempt.
	recent = time.Second
	// atOnce is the number of attempts in a row that may have run without output after
	// which the next one is put off.
	atOnce = 2
)

// Pace is the course of the latest attempts of a stream. The zero value has none.
type Pace struct {
	// empty counts the attempts since the latest output that may have run, and refused
	// those in a row, up to the latest one, that did not. The latest ended at endedAt.
	empty   int
	refused int
	endedAt time.Time
}

// Ended records the end of an attempt. ran is true if it may have run, and lasted if it had
// output or was given up for its silence, so that it did not end at once.
func (p *Pace) Ended(now time.Time, ran, lasted bool) {
	p.endedAt = now
	switch {
	case !ran:
		p.refused++
	case lasted:
		p.refused = 0
	default:
		p.empty++
		p.refused = 0
	}
}

// Begun records output of an attempt.
func (p *Pace) Begun() { *p = Pace{} }

// Permits reports whether the next attempt may go to an upstream that last sent something at
// the time heard. left is the number of attempts that may still run.
func (p *Pace) Permits(heard time.Time, left int) bool {
	switch {
	case p.putOff(left):
		return heard.After(p.endedAt)
	case left <= 1 && !p.endedAt.IsZero():
		// The last attempt is not risked at an upstream that may have crashed.
		return heard.After(p.endedAt.Add(-recent))
	default:
		return true
	}
}

// putOff reports whether the next attempt is not sent at once, and only to an upstream that
// was heard since the latest one ended.
func (p *Pace) putOff(left int) bool { return p.empty >= atOnce || p.empty > 0 && left <= 1 }

// Due returns the earliest time of the next attempt, or the zero time if it may be sent at
// once. sound is true if there is an upstream that has not failed lately; any other one
// would most likely refuse it again.
func (p *Pace) Due(left int, sound bool) time.Time {
	n := 0
	if p.putOff(left) {
		n = p.empty
	}
	if !sound {
		n = max(n, p.refused)
	}
	if n == 0 {
		return time.Time{}
	}
	pause := firstPause
	for range n - 1 {
		pause = min(2*pause, maxPause)
	}
	return p.endedAt.Add(pause)
}
