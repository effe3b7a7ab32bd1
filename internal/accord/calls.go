package accord

import (
	"context"
	"sync"
	"syscall"
	"time"

	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
)

const (
	// writeAttempts is how often a write to the store is tried, writePause apart.
	writeAttempts = 6
	writePause    = 2 * time.Second
)

// runReports sends losses to other VMs until ctx ends.
func (d *Duty) runReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-d.reports.Out():
			d.sendReport(ctx, r)
		}
	}
}

// sendReport sends a loss to the first of its targets that answers.
func (d *Duty) sendReport(ctx context.Context, r report) {
	var failure error
	for _, address := range r.targets {
		known, err := d.collectAt(ctx, address, r.lost)
		if err != nil {
			failure = err
			continue
		}
		for _, charge := range known {
			d.submit(ctx, func(now time.Time) []blame.Action { return d.core.Learn(now, charge) })
		}
		return
	}
	if ctx.Err() == nil {
		d.log.Warn().Err(failure).Strs("parts", r.lost.Parts()).Msg("blame: A lost engine could not be reported.")
	}
}

// collectAt reports a loss to the VM at address, "" for this one.
func (d *Duty) collectAt(ctx context.Context, address string, lost blame.Run) ([]blame.Charge, error) {
	if address == "" {
		return d.collect(ctx, lost)
	}
	return d.callCollect(ctx, address, lost)
}

// runRounds carries out the questions and announcements to all VMs until ctx ends.
func (d *Duty) runRounds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-d.rounds.Out():
			d.carryOut(ctx, r)
		}
	}
}

// carryOut calls all VMs of a round and waits for their answers. VMs that refuse the
// connection have been stopped and have seen nothing.
func (d *Duty) carryOut(ctx context.Context, r round) {
	var mu sync.Mutex
	var sights []blame.Sight
	var missed []string
	silent := 0
	var wait sync.WaitGroup
	slots := make(chan struct{}, fanOut)
	for _, address := range r.addresses {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if r.accusation == nil {
				if err := d.callAnnounce(ctx, address, r.charge, r.lifted); err != nil {
					mu.Lock()
					defer mu.Unlock()
					missed = append(missed, address)
				}
				return
			}
			seen, err := d.callSeen(ctx, address, *r.accusation)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
				silent++
			}
			sights = append(sights, seen...)
		})
	}
	wait.Wait()
	if r.accusation == nil {
		d.repeat(ctx, r, missed)
		return
	}
	a := *r.accusation
	if silent > 0 {
		d.log.Warn().Str("service", a.Service()).Str("part", a.Part()).Int("silent", silent).Int("asked", len(r.addresses)).Msg("blame: VMs did not answer.")
	}
	d.submit(ctx, func(now time.Time) []blame.Action {
		return d.core.Answered(now, a, append(sights, d.core.Seen(a.Service(), a.Parts(), a.Since())...), silent)
	})
}

// repeat announces a charge to VMs that did not answer once more after a pause,
// because the store may be down. An announcement that no longer holds is dropped.
func (d *Duty) repeat(ctx context.Context, r round, missed []string) {
	if len(missed) == 0 || r.repeats == maxRepeats {
		return
	}
	r.addresses = missed
	r.repeats++
	time.AfterFunc(repeatPause, func() {
		if inForce, err := d.inForce(ctx, r.charge); err == nil && inForce != r.lifted {
			d.rounds.Put(ctx, r)
		}
	})
}

// runWrites writes charges to the store until ctx ends.
func (d *Duty) runWrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-d.writes.Out():
			d.writeCharge(ctx, w)
		}
	}
}

// writeCharge writes or deletes the key of a charge. All VMs have been told of it
// already, so a key that can't be written only concerns VMs that start later. A
// charge that is no longer in force is not written.
func (d *Duty) writeCharge(ctx context.Context, w write) {
	carryOut := func(ctx context.Context, c blame.Charge) error { return d.put(ctx, c, w.left, w.again) }
	if w.deleted {
		carryOut = d.remove
	}
	for range writeAttempts {
		if inForce, err := d.inForce(ctx, w.charge); err != nil || inForce == w.deleted {
			return
		}
		err := carryOut(ctx, w.charge)
		if err == nil && w.again {
			d.observe(Rewrite)
			d.log.Info().Str("id", w.charge.ID()).Int64("left", w.left.Milliseconds()).Msg("blame: A charge is written again.")
		}
		switch {
		case err == nil, errors.Is(err, store.ErrConflict), ctx.Err() != nil:
			return
		}
		d.log.Warn().Err(err).Str("id", w.charge.ID()).Msg("blame: A write failed.")
		sleep(ctx, writePause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
