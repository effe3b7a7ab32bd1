package simkv

import (
	"math/rand/v2"
	"time"
)

// Fault is one fault to switch on; it is also the body of POST /fault.
type Fault struct {
	body faultBody
}

// faultBody is the JSON form of a fault. Times are in milliseconds.
type faultBody struct {
	Op    string  `json:"op"`
	Mode  string  `json:"mode,omitempty"`
	Time  int64   `json:"time,omitempty"`
	Delay int64   `json:"delay,omitempty"`
	Count int     `json:"count,omitempty"`
	Rate  float64 `json:"rate,omitempty"`
	Seed  uint64  `json:"seed,omitempty"`
}

// Outage makes all calls fail with 503 for a time.
func Outage(d time.Duration) Fault {
	return Fault{
		body: faultBody{
			Op:   "outage",
			Time: d.Milliseconds(),
		},
	}
}

// Hang makes all calls wait for a time and then cuts their connections.
func Hang(d time.Duration) Fault {
	return Fault{
		body: faultBody{
			Op:   "outage",
			Mode: "hang",
			Time: d.Milliseconds(),
		},
	}
}

// Slow delays each call, for a time.
func Slow(delay, d time.Duration) Fault {
	return Fault{
		body: faultBody{
			Op:    "slow",
			Delay: delay.Milliseconds(),
			Time:  d.Milliseconds(),
		},
	}
}

// Lose lets the next count writes take effect and cuts their connections
// before the answer.
func Lose(count int) Fault {
	return Fault{
		body: faultBody{
			Op:    "lose",
			Count: count,
		},
	}
}

// Loss cuts the connection of each call with probability rate, half of them
// before the call takes effect and half after it. Rate 0 ends it.
func Loss(rate float64, seed uint64) Fault {
	return Fault{
		body: faultBody{
			Op:   "loss",
			Rate: rate,
			Seed: seed,
		},
	}
}

// Drop omits the next count events from the answers to watches.
func Drop(count int) Fault {
	return Fault{
		body: faultBody{
			Op:    "drop",
			Count: count,
		},
	}
}

// Reorder makes the next count answers to watches list their events last
// first, followed by the newest event of the answer before.
func Reorder(count int) Fault {
	return Fault{
		body: faultBody{
			Op:    "reorder",
			Count: count,
		},
	}
}

// Compact forgets all events so far, so that older watches get 410.
func Compact() Fault {
	return Fault{
		body: faultBody{
			Op: "compact",
		},
	}
}

// Expire ends all leases now.
func Expire() Fault {
	return Fault{
		body: faultBody{
			Op: "expire",
		},
	}
}

// Clear ends all faults.
func Clear() Fault {
	return Fault{
		body: faultBody{
			Op: "clear",
		},
	}
}

// faults holds the faults that are on. The keeper owns it.
type faults struct {
	hang    bool
	outage  time.Time
	delay   time.Duration
	slow    time.Time
	lose    int
	rate    float64
	random  *rand.Rand
	drop    int
	reorder int
}

// set switches a fault on and reports whether the op is known.
func (f *faults) set(now time.Time, b faultBody) bool {
	until := now.Add(time.Duration(b.Time) * time.Millisecond)
	switch b.Op {
	case "outage":
		f.outage = until
		f.hang = b.Mode == "hang"
	case "slow":
		f.slow = until
		f.delay = time.Duration(b.Delay) * time.Millisecond
	case "lose":
		f.lose = b.Count
	case "loss":
		f.rate = b.Rate
		f.random = rand.New(rand.NewPCG(b.Seed, 0))
	case "drop":
		f.drop = b.Count
	case "reorder":
		f.reorder = b.Count
	case "clear":
		*f = faults{}
	default:
		return false
	}
	return true
}

// verdict is what happens to one call.
type verdict struct {
	// status is 0 for a call that runs.
	status int
	// hang is the time to wait before the connection is cut without effect.
	hang  time.Duration
	delay time.Duration
	// before and after cut the connection before or after the effect.
	before bool
	after  bool
}

// judge decides on a call that the rate limits let through.
func (f *faults) judge(now time.Time, write bool) verdict {
	var v verdict
	if now.Before(f.outage) {
		if f.hang {
			v.hang = f.outage.Sub(now)
			return v
		}
		v.status = 503
		return v
	}
	if now.Before(f.slow) {
		v.delay = f.delay
	}
	if write && f.lose > 0 {
		f.lose--
		v.after = true
		return v
	}
	if f.rate > 0 && f.random.Float64() < f.rate {
		v.before = f.random.IntN(2) == 0
		v.after = !v.before
	}
	return v
}

// distort applies the watch faults to the events of one answer; last is the
// newest event of the answer before, if there is one.
func (f *faults) distort(events []event, last event, found bool) []event {
	kept := []event{}
	for _, e := range events {
		if f.drop > 0 {
			f.drop--
			continue
		}
		kept = append(kept, e)
	}
	if f.reorder == 0 || len(kept) == 0 {
		return kept
	}
	f.reorder--
	for i, j := 0, len(kept)-1; i < j; i, j = i+1, j-1 {
		kept[i], kept[j] = kept[j], kept[i]
	}
	if found {
		kept = append(kept, last)
	}
	return kept
}
