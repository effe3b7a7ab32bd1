package loads

import (
	"time"

	"clementinelink.example/clementinelink/internal/pqueue"
)

// clock runs timed events one after the other in virtual time.
type clock struct {
	start  time.Time
	now    time.Time
	events *pqueue.Queue[*timed]
	// seq is the number of events so far.
	seq int
}

// timed is an event at a time after the start. Events of one time run in the order of their
// creation.
type timed struct {
	at  time.Duration
	seq int
	run func()
}

func newClock() *clock {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &clock{
		start:  start,
		now:    start,
		events: pqueue.New(func(a, b *timed) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }, func(*timed, int) {}),
	}
}

// after runs an event after d, which is not negative.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	c.events.Push(&timed{
		at:  c.now.Sub(c.start) + d,
		seq: c.seq,
		run: run,
	})
}

// next runs the earliest event, of which there must be one.
func (c *clock) next() {
	e := c.events.Pop()
	c.now = c.start.Add(e.at)
	e.run()
}
