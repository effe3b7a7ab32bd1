package study

import "clementinelink.example/clementinelink/internal/move"

// The baseline policy has fixed stages: each share in baselineShares lasts a
// quarter of the move, and the move is rolled back when more than this fraction
// of the new version's requests failed in the last five minutes. It is evaluated
// once a minute.
const maxFailureRate = 0.05

var baselineShares = [...]float64{0.05, 0.25, 0.5, 1}

// baselineRun is one simulated move under the baseline policy.
type baselineRun struct {
	*fleet
	share   float64
	state   move.State
	endedAt int
}

func runBaseline(f *fleet) Result {
	b := &baselineRun{fleet: f}
	faultStart := f.rng.IntN(moveSeconds)
	for second := range moveSeconds + extraSeconds {
		f.startSecond(second)
		f.gossip(second)
		b.decide(second, faultStart)
		f.newEngines = min(max(int(b.share*fleetEngines), 2), fleetEngines-1)
		for vm := range fleetVMs {
			for n := f.poisson(requestRate / fleetVMs); n > 0; n-- {
				version := 0
				if f.rng.Float64() < b.share {
					version = 1
				}
				f.serve(second, vm, version, b.share)
			}
		}
		if b.state == move.RolledBack && second > moveSeconds {
			break
		}
	}
	return Result{
		state:        b.state.String(),
		finalAt:      float64(b.endedAt),
		onTime:       b.state != move.Running && b.endedAt <= moveSeconds,
		badRequests:  f.badRequests,
		served:       f.served,
		finalRecords: 1,
	}
}

// decide sets the share and the state. It does nothing while the store is down
// or the holder has failed, because it could not write a record.
func (b *baselineRun) decide(second, faultStart int) {
	blocked := b.c.fault == Outage && second >= moveSeconds*70/100 && second < moveSeconds+60 ||
		(b.c.fault == HolderDead || b.c.fault == HolderPaused) && second >= faultStart && second < faultStart+60
	if b.state != move.Running || blocked {
		return
	}
	if second%60 == 0 && second > 0 && b.failureRate(second) > maxFailureRate {
		b.state, b.share, b.endedAt = move.RolledBack, 0, second
		return
	}
	if second >= moveSeconds {
		b.state, b.endedAt = move.Done, second
		return
	}
	b.share = baselineShares[second*len(baselineShares)/moveSeconds]
}

// failureRate returns the failed fraction of the new version's requests in the
// last five minutes. Unlike the controller, the baseline policy does not
// distinguish requests that were interrupted by the loss of an engine.
func (b *baselineRun) failureRate(second int) float64 {
	var requests, failed uint64
	for vm := range fleetVMs {
		for minutesAgo := range 5 {
			for _, route := range routes {
				for _, class := range classes {
					c := b.sets[0].Get(move.NewKey(vmNames[vm], b.incarnations[vm], "model", "v2", route, class, timeAt(second-60*minutesAgo)))
					requests += c.Requests()
					failed += c.Bad(move.Errors) + c.Bad(move.Truncated)
				}
			}
		}
	}
	return float64(failed) / float64(max(requests, 1))
}
