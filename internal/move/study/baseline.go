package study

import "clementinelink.example/clementinelink/internal/move"

// The plain staged rollout: shares of 5, 25, 50 and 100 percent, each for a
// quarter of the time, and a roll-back when more than 5% of the new version's
// requests in the last five minutes failed. It is evaluated once a minute.
const threshold = 0.05

var baselineShares = [...]float64{0.05, 0.25, 0.5, 1}

// rollout is the state of the plain staged rollout.
type rollout struct {
	*fleet
	share float64
	state move.State
	at    int
}

func runBaseline(f *fleet) Result {
	r := &rollout{fleet: f}
	stop := f.rng.IntN(window)
	for second := range window + after {
		f.begin(second)
		f.gossip(second)
		r.decide(second, stop)
		f.newEngines = min(max(int(r.share*fleetEngines), 2), fleetEngines-1)
		for vm := range fleetVMs {
			for n := f.poisson(requestRate / fleetVMs); n > 0; n-- {
				version := 0
				if f.rng.Float64() < r.share {
					version = 1
				}
				f.serve(second, vm, version, r.share)
			}
		}
		if r.state == move.RolledBack && second > window {
			break
		}
	}
	return Result{
		state:   r.state.String(),
		settled: float64(r.at),
		onTime:  r.state != move.Running && r.at <= window,
		met:     f.met,
		served:  f.served,
		finals:  1,
	}
}

// decide sets the share. Its records need the store and its holder.
func (r *rollout) decide(second, stop int) {
	blocked := r.c.fault == Outage && second >= window*70/100 && second < window+60 ||
		(r.c.fault == HolderDead || r.c.fault == HolderPaused) && second >= stop && second < stop+60
	if r.state != move.Running || blocked {
		return
	}
	if second%60 == 0 && second > 0 && r.rate(second) > threshold {
		r.state, r.share, r.at = move.RolledBack, 0, second
		return
	}
	if second >= window {
		r.state, r.at = move.Done, second
		return
	}
	r.share = baselineShares[second*len(baselineShares)/window]
}

// rate returns the failed fraction of the new version in five minutes. A
// request that an engine loss interrupted is not told apart.
func (r *rollout) rate(second int) float64 {
	var requests, failed uint64
	for vm := range fleetVMs {
		for back := range 5 {
			for _, route := range routes {
				for _, class := range classes {
					c := r.sets[0].Get(move.NewKey(vmNames[vm], r.incarnations[vm], "model", "v2", route, class, clock(second-60*back)))
					requests += c.Requests()
					failed += c.Bad(move.Errors) + c.Bad(move.Truncated)
				}
			}
		}
	}
	return float64(failed) / float64(max(requests, 1))
}
