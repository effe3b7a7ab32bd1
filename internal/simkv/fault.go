package simkv

import (
	"math/rand/v2"
	"time"
)

// Fault is a fault for Server.Inject. Its JSON form is the body of POST /fault.
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

// Outage makes all calls fail with 503 for d.
func Outage(d time.Duration) Fault {
	return Fault{
		body: faultBody{
			Op:   "outage",
			Time: d.Milliseconds(),
		},
	}
}

// Hang leaves all calls unanswered for d, then cuts their connections.
func Hang(d time.Duration) Fault {
	return Fault{
		body: faultBody{
			Op:   "outage",
			Mode: "hang",
			Time: d.Milliseconds(),
		},
	}
}

// Slow delays each call by delay, for d.
func Slow(delay, d time.Duration) Fault {
	return Fault{
		body: faultBody{
			Op:    "slow",
			Delay: delay.Milliseconds(),
			Time:  d.Milliseconds(),
		},
	}
}

// LoseWriteAnswers makes the next count writes take effect but cuts their
// connections before the answer.
func LoseWriteAnswers(count int) Fault {
	return Fault{
		body: faultBody{
			Op:    "lose",
			Count: count,
		},
	}
}

// CutConnections cuts the connection of each call with probability rate, on
// average half of them before the call takes effect and half after. Rate 0 ends
// the fault.
func CutConnections(rate float64, seed uint64) Fault {
	return Fault{
		body: faultBody{
			Op:   "loss",
			Rate: rate,
			Seed: seed,
		},
	}
}

// DropEvents omits the next count events from the answers to watches.
func DropEvents(count int) Fault {
	return Fault{
		body: faultBody{
			Op:    "drop",
			Count: count,
		},
	}
}

// ReorderEvents makes the next count answers to watches list their events in
// reverse order, followed by a repeat of the last event before them.
func ReorderEvents(count int) Fault {
	return Fault{
		body: faultBody{
			Op:    "reorder",
			Count: count,
		},
	}
}

// Compact discards the event history, so that watches after an older revision
// get 410.
func Compact() Fault {
	return Fault{
		body: faultBody{
			Op: "compact",
		},
	}
}

// Restore goes back to the state of some time ago, at most 30 s, as a store that comes back
// from a copy. What was written since is lost, leases too, and revisions and lease ids are
// given out again in a new era.
func Restore(back time.Duration) Fault {
	return Fault{
		body: faultBody{
			Op:   "restore",
			Time: back.Milliseconds(),
		},
	}
}

// ExpireLeases ends all leases immediately.
func ExpireLeases() Fault {
	return Fault{
		body: faultBody{
			Op: "expire",
		},
	}
}

// ClearFaults ends all faults.
func ClearFaults() Fault {
	return Fault{
		body: faultBody{
			Op: "clear",
		},
	}
}

// faults holds the active faults. The goroutine of Server.run owns it.
type faults struct {
	outageHangs    bool
	outageUntil    time.Time
	delay          time.Duration
	slowUntil      time.Time
	loseWrites     int
	lossRate       float64
	lossRand       *rand.Rand
	dropEvents     int
	reorderAnswers int
}

// set starts a fault and reports whether the op is known.
func (f *faults) set(now time.Time, b faultBody) bool {
	until := now.Add(time.Duration(b.Time) * time.Millisecond)
	switch b.Op {
	case "outage":
		f.outageUntil = until
		f.outageHangs = b.Mode == "hang"
	case "slow":
		f.slowUntil = until
		f.delay = time.Duration(b.Delay) * time.Millisecond
	case "lose":
		f.loseWrites = b.Count
	case "loss":
		f.lossRate = b.Rate
		f.lossRand = rand.New(rand.NewPCG(b.Seed, 0))
	case "drop":
		f.dropEvents = b.Count
	case "reorder":
		f.reorderAnswers = b.Count
	case "clear":
		*f = faults{}
	default:
		return false
	}
	return true
}

// decision says how faults and rate limits affect one call.
type decision struct {
	// era is that of the store when the call arrived.
	era uint64
	// status is the status of a refused call, 0 for one that runs.
	status int
	// hang is the time to wait before the connection is cut without effect.
	hang  time.Duration
	delay time.Duration
	// cutBefore and cutAfter cut the connection before or after the call takes
	// effect.
	cutBefore bool
	cutAfter  bool
}

// decide applies the faults to a call that is within the rate limits.
func (f *faults) decide(now time.Time, write bool) decision {
	var v decision
	if now.Before(f.outageUntil) {
		if f.outageHangs {
			v.hang = f.outageUntil.Sub(now)
			return v
		}
		v.status = 503
		return v
	}
	if now.Before(f.slowUntil) {
		v.delay = f.delay
	}
	if write && f.loseWrites > 0 {
		f.loseWrites--
		v.cutAfter = true
		return v
	}
	if f.lossRate > 0 && f.lossRand.Float64() < f.lossRate {
		v.cutBefore = f.lossRand.IntN(2) == 0
		v.cutAfter = !v.cutBefore
	}
	return v
}

// applyWatchFaults drops and reorders the events of one answer. last is the
// newest event before them, if found.
func (f *faults) applyWatchFaults(events []event, last event, found bool) []event {
	kept := []event{}
	for _, e := range events {
		if f.dropEvents > 0 {
			f.dropEvents--
			continue
		}
		kept = append(kept, e)
	}
	if f.reorderAnswers == 0 || len(kept) == 0 {
		return kept
	}
	f.reorderAnswers--
	for i, j := 0, len(kept)-1; i < j; i, j = i+1, j-1 {
		kept[i], kept[j] = kept[j], kept[i]
	}
	if found {
		kept = append(kept, last)
	}
	return kept
}
