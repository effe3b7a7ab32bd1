package load

import "time"

const (
	// othersHalfLife is the half-life of the requests of other VMs. A stream lasts for
	// about 6 s.
	othersHalfLife = 2 * time.Second
	// slowHalfLife is the half-life of a slow-down. Slow-downs last for some hundred
	// milliseconds.
	slowHalfLife = 250 * time.Millisecond
	// maxHalfLives is the number of half-lives after which nothing of a value is left.
	maxHalfLives = 7
	// minSlowDown and maxSlowDown bound what a report can do. An upstream that states
	// that it is very fast would get all requests, and one that states that it is very
	// slow would rank behind those that have failed. Usual work of 15 ms takes 120 ms at
	// maxSlowDown, which is more than a request to another region.
	minSlowDown = 0.5
	maxSlowDown = 8
	// slowFrom is the slow-down from which an upstream counts as slow.
	slowFrom = 1.5
)

// Record is what one VM knows of the load of one upstream. The zero value is the record
// of an upstream without a report. It is not safe for concurrent use.
type Record struct {
	// others is the number of requests of other VMs as of countsAt.
	others   float64
	countsAt time.Time
	slots    int
	slotsAt  time.Time
	// slowDown is how long work takes, where 1 is the usual time, as of slowDownAt.
	slowDown   float64
	slowDownAt time.Time
}

// Update applies the figures of a report that are known. own is the number of this VM's
// requests that the report includes.
func (d *Record) Update(now time.Time, r Report, own int) {
	if r.counted {
		d.others, d.countsAt = float64(max(r.running+r.waiting-own, 0)), now
	}
	if r.slots > 0 {
		d.slots, d.slotsAt = r.slots, now
	}
	if r.percent > 0 {
		d.slowDown, d.slowDownAt = min(max(float64(r.percent)/100, minSlowDown), maxSlowDown), now
	}
}

// Others returns the expected number of requests of other VMs.
func (d *Record) Others(now time.Time) float64 {
	if d.others == 0 {
		return 0
	}
	return d.others * Decay(now.Sub(d.countsAt), othersHalfLife)
}

// OthersReported returns the number of requests of other VMs in the latest report.
func (d *Record) OthersReported() float64 { return d.others }

// CountsAt returns the time of the latest report with the number of requests, or the zero
// time.
func (d *Record) CountsAt() time.Time { return d.countsAt }

// Slots returns the number of slots, or 0 if it is unknown. It does not age.
func (d *Record) Slots() int { return d.slots }

// SlotsAt returns the time of the latest report with the slots, or the zero time.
func (d *Record) SlotsAt() time.Time { return d.slotsAt }

// SlowDown returns the expected time that work takes, where 1 is the usual time. It is 1
// without a report or with an old one.
func (d *Record) SlowDown(now time.Time) float64 {
	if d.slowDown == 0 {
		return 1
	}
	return 1 + (d.slowDown-1)*Decay(now.Sub(d.slowDownAt), slowHalfLife)
}

// SlowDownAt returns the time of the latest report with the slow-down, or the zero time.
func (d *Record) SlowDownAt() time.Time { return d.slowDownAt }

// Slow reports whether work is expected to take clearly longer than usual.
func (d *Record) Slow(now time.Time) bool { return d.SlowDown(now) >= slowFrom }

// Decay returns 0.5 to the power of age/half, interpolated linearly between whole
// half-lives, and 0 from maxHalfLives on, so that an old value has no effect at all. A
// negative age counts as 0.
func Decay(age, half time.Duration) float64 {
	if age >= maxHalfLives*half {
		return 0
	}
	whole := max(age, 0) / half
	rest := float64(max(age, 0)-whole*half) / float64(half)
	return (1 - 0.5*rest) / float64(int(1)<<whole)
}
