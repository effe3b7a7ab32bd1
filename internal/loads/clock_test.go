package loads

import (
	"time"

	"clementinelink.example/clementinelink/internal/pqueue"
)

// clock runs timed events one after the other in virtual time.
type clock struct {
	now    time.Time
	events *pqueue.Queue[*timed]
	// seq is the number of events so far.
	seq int
}

// timed is an event. Events of one time run in the order of their creation.
type timed struct {
	at  time.Time
	seq int
	run func()
}

func newClock() *clock {
	return &clock{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		events: pqueue.New(func(a, b *timed) bool {
			if !a.at.Equal(b.at) {
				return a.at.Before(b.at)
			}
			return a.seq < b.seq
		}, func(*timed, int) {}),
	}
}

// at runs an event at a time that is not in the past.
func (c *clock) at(at time.Time, run func()) {
	c.seq++
	c.events.Push(&timed{
		at:  at,
		seq: c.seq,
		run: run,
	})
}

// after runs an event after d.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// next runs the earliest event and reports whether there was one.
func (c *clock) next() bool {
	if c.events.Len() == 0 {
		return false
	}
	e := c.events.Pop()
	c.now = e.at
	e.run()
	return true
}
