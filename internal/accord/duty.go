package accord

import (
	"context"
	"maps"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/rs/zerolog"
)

const (
	// runCap is the capacity of the queue of runs. When it is full, the oldest are
	// dropped, which only delays a charge.
	runCap = 2048
	// inputCap is the capacity of the queue of the other inputs. Senders block when
	// it is full.
	inputCap = 256
	// reportCap is the capacity of the queue of losses to be sent to other VMs, and
	// reporters the number of goroutines that send them.
	reportCap = 512
	reporters = 8
	// roundCap is the capacity of the queue of questions and announcements to all
	// VMs, and fanOut the number of VMs that are called at the same time.
	roundCap = 256
	fanOut   = 64
	// maxRepeats is how often an announcement is repeated to VMs that do not answer,
	// repeatPause apart. They may be frozen or about to start.
	maxRepeats  = 8
	repeatPause = time.Second
	// writeCap is the capacity of the queue of writes to the store.
	writeCap = 256
	// expiryInterval is how often the charges are checked for their expiry.
	expiryInterval = 10 * time.Second
)

// Rewrite is the name of the event that a charge is written again, since a restored store
// lacks it.
const Rewrite = "rewrite"

// runEnd is a run of this VM that its engine survived, or was lost in.
type runEnd struct {
	run      blame.Run
	survived bool
}

// input is an input of the duty other than the end of a run. apply is called by its
// goroutine.
type input struct {
	apply func(now time.Time) []blame.Action
}

// report is a loss to be sent to the first VM that answers.
type report struct {
	lost    blame.Run
	targets []string
}

// round is a question or an announcement to all other VMs.
type round struct {
	addresses []string
	// accusation is set for a question, and charge and lifted for an announcement.
	accusation *blame.Accusation
	charge     blame.Charge
	lifted     bool
	// repeats counts how often an announcement has been repeated to the VMs that did
	// not answer.
	repeats int
}

// write is a write of a charge to the store, or its deletion.
type write struct {
	charge  blame.Charge
	deleted bool
	// left is the lifetime of the charge, and again is true if a restored store lacks
	// it.
	left  time.Duration
	again bool
}

// Duty takes part in the agreement for one VM. Its exported methods may be called
// concurrently.
type Duty struct {
	self   string
	core   *blame.Core
	runs   *ring.Ring[runEnd]
	inputs *ring.Ring[input]

	reports *ring.Ring[report]
	rounds  *ring.Ring[round]
	writes  *ring.Ring[write]
	// addresses holds the feed addresses of the other VMs by name. Only the run
	// goroutine uses it.
	addresses map[string]string

	// callCollect, callSeen and callAnnounce call another VM.
	callCollect  func(ctx context.Context, address string, lost blame.Run) ([]blame.Charge, error)
	callSeen     func(ctx context.Context, address string, a blame.Accusation) ([]blame.Sight, error)
	callAnnounce func(ctx context.Context, address string, charge blame.Charge, lifted bool) error
	// put stores a charge for the rest of its lifetime unless its key exists, and remove
	// deletes its key.
	put    func(ctx context.Context, charge blame.Charge, left time.Duration, again bool) error
	remove func(ctx context.Context, charge blame.Charge) error
	// notify receives the charges in force after each change.
	notify func(ctx context.Context, charges []blame.Charge)
	// observe is called with the name of each event that is counted.
	observe func(name string)
	now     func() time.Time
	log     zerolog.Logger
}

// New returns the duty of the VM named self. It passes the charges in force to
// notify after each change, and calls observe for each event with its name:
// "report", "accusation", "charge", "lift" or Rewrite.
func New(self string, c *store.Client, notify func(ctx context.Context, charges []blame.Charge), observe func(name string), log zerolog.Logger) *Duty {
	peers := newClient()
	s := &shelf{
		client: c,
	}
	return &Duty{
		self:         self,
		core:         blame.New(self),
		runs:         ring.New[runEnd](runCap, ring.DropOldest),
		inputs:       ring.New[input](inputCap, ring.Wait),
		reports:      ring.New[report](reportCap, ring.DropOldest),
		rounds:       ring.New[round](roundCap, ring.DropOldest),
		writes:       ring.New[write](writeCap, ring.DropOldest),
		addresses:    make(map[string]string),
		callCollect:  peers.collect,
		callSeen:     peers.ask,
		callAnnounce: peers.announce,
		put:          s.put,
		remove:       s.remove,
		notify:       notify,
		observe:      observe,
		now:          time.Now,
		log:          log,
	}
}

// Run takes part in the agreement until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	for range reporters {
		go d.runReports(ctx)
	}
	go d.runRounds(ctx)
	go d.runWrites(ctx)
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.runs.Out():
			if e.survived {
				d.execute(ctx, d.core.Survived(d.now(), e.run))
			} else {
				d.execute(ctx, d.core.Lost(d.now(), e.run))
			}
		case in := <-d.inputs.Out():
			d.execute(ctx, in.apply(d.now()))
		case <-ticker.C:
			d.execute(ctx, d.core.Expire(d.now()))
		}
	}
}

// RunSurvived reports a run that its engine has survived. It never blocks.
func (d *Duty) RunSurvived(ctx context.Context, r blame.Run) {
	d.runs.Put(ctx, runEnd{
		run:      r,
		survived: true,
	})
}

// RunLost reports a run that ended with its engine. It never blocks.
func (d *Duty) RunLost(ctx context.Context, r blame.Run) {
	d.runs.Put(ctx, runEnd{
		run: r,
	})
}

// SetVMs sets the feed addresses of the enrolled VMs by name.
func (d *Duty) SetVMs(ctx context.Context, addresses map[string]string) {
	d.submit(ctx, func(time.Time) []blame.Action {
		d.addresses = maps.Clone(addresses)
		delete(d.addresses, d.self)
		d.core.SetVMs(slices.Collect(maps.Keys(d.addresses)))
		return nil
	})
}

// Apply applies a change of the store. Keys other than those of charges are
// ignored.
func (d *Duty) Apply(ctx context.Context, c follow.Change) {
	var listed []blame.Charge
	for _, e := range c.Put() {
		if _, ok := chargeID(e.Key()); !ok {
			continue
		}
		charge, again, err := decodeEntry(e)
		switch {
		case err != nil:
			d.log.Warn().Err(err).Str("key", e.Key()).Str("revision", store.Text(e.Revision())).Msg("blame: Invalid charge.")
		case c.Restored():
			listed = append(listed, charge)
		default:
			d.submit(ctx, func(now time.Time) []blame.Action { return d.core.Stored(now, charge, again) })
		}
	}
	if c.Restored() {
		d.submit(ctx, func(now time.Time) []blame.Action { return d.core.Restored(now, listed) })
		return
	}
	for _, key := range c.Deleted() {
		if id, ok := chargeID(key); ok {
			d.submit(ctx, func(now time.Time) []blame.Action { return d.core.Missing(now, id, !c.Confirmed().IsZero()) })
		}
	}
}

func (d *Duty) submit(ctx context.Context, apply func(now time.Time) []blame.Action) bool {
	return d.inputs.Put(ctx, input{
		apply: apply,
	})
}

// collect counts a loss that another VM reports and returns the charges that cover
// it.
func (d *Duty) collect(ctx context.Context, lost blame.Run) ([]blame.Charge, error) {
	reply := make(chan []blame.Charge, 1)
	d.submit(ctx, func(now time.Time) []blame.Action {
		actions := d.core.Collect(now, lost)
		reply <- d.core.Known(lost)
		return actions
	})
	return await(ctx, reply)
}

// seen returns the parts that this VM has seen survive after a time.
func (d *Duty) seen(ctx context.Context, service string, parts []string, after time.Time) ([]blame.Sight, error) {
	reply := make(chan []blame.Sight, 1)
	d.submit(ctx, func(time.Time) []blame.Action {
		reply <- d.core.Seen(service, parts, after)
		return nil
	})
	return await(ctx, reply)
}

// inForce reports whether a charge is in force at this VM.
func (d *Duty) inForce(ctx context.Context, charge blame.Charge) (bool, error) {
	reply := make(chan bool, 1)
	d.submit(ctx, func(time.Time) []blame.Action {
		reply <- slices.ContainsFunc(d.core.Charges(), func(c blame.Charge) bool { return c.ID() == charge.ID() })
		return nil
	})
	return await(ctx, reply)
}

// announced applies a charge that another VM announces.
func (d *Duty) announced(ctx context.Context, charge blame.Charge, lifted bool) error {
	reply := make(chan bool, 1)
	d.submit(ctx, func(now time.Time) []blame.Action {
		reply <- true
		if lifted {
			return d.core.Lift(now, charge.ID())
		}
		return d.core.Learn(now, charge)
	})
	_, err := await(ctx, reply)
	return err
}

// await returns the value that arrives in reply before ctx ends.
func await[T any](ctx context.Context, reply <-chan T) (T, error) {
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// execute carries out actions without blocking on other VMs or the store.
func (d *Duty) execute(ctx context.Context, actions []blame.Action) {
	fenced := false
	for _, a := range actions {
		switch a.Kind() {
		case blame.Report:
			d.report(ctx, a)
		case blame.Ask:
			accusation := a.Accusation()
			d.observe("accusation")
			d.log.Info().Str("service", accusation.Service()).Str("version", accusation.Version()).Str("part", accusation.Part()).
				Strs("parts", accusation.Parts()).Int64("since", age(d.now(), accusation.Since())).Msg("blame: Prompt parts are accused.")
			d.rounds.Put(ctx, round{
				addresses:  slices.Collect(maps.Values(d.addresses)),
				accusation: &accusation,
			})
		case blame.Announce:
			d.rounds.Put(ctx, round{
				addresses: slices.Collect(maps.Values(d.addresses)),
				charge:    a.Charge(),
				lifted:    a.Lifted(),
			})
		case blame.Store, blame.Unstore:
			d.writes.Put(ctx, write{
				charge:  a.Charge(),
				deleted: a.Kind() == blame.Unstore,
				left:    a.Left(),
				again:   a.Again(),
			})
		case blame.Fence:
			fenced = true
			d.logFence(a)
		}
	}
	if fenced {
		d.notify(ctx, d.core.Charges())
	}
}

// report sends a loss to the VMs that collect it.
func (d *Duty) report(ctx context.Context, a blame.Action) {
	lost := a.Run()
	d.observe("report")
	var names []string
	for _, target := range a.Targets() {
		names = append(names, target[0])
	}
	d.log.Info().Str("service", lost.Service()).Str("version", lost.Version()).Str("upstream", lost.Engine()).Str("domain", lost.Domain()).
		Str("session", lost.Session()).Strs("parts", lost.Parts()).Strs("collectors", names).Msg("blame: A lost engine is reported.")
	for _, target := range a.Targets() {
		if target[0] == d.self {
			d.execute(ctx, d.core.Collect(d.now(), lost))
			continue
		}
		d.reports.Put(ctx, report{
			lost:    lost,
			targets: d.addressesOf(target),
		})
	}
}

// addressesOf returns the addresses of VMs, "" for this one.
func (d *Duty) addressesOf(names []string) []string {
	list := make([]string, 0, len(names))
	for _, name := range names {
		if address, ok := d.addresses[name]; ok || name == d.self {
			list = append(list, address)
		}
	}
	return list
}

func (d *Duty) logFence(a blame.Action) {
	message := "blame: A charge is in force."
	if a.Lifted() {
		message = "blame: A charge is lifted."
		d.observe("lift")
	} else {
		d.observe("charge")
	}
	c := a.Charge()
	d.log.Warn().Str("id", c.ID()).Str("service", c.Service()).Strs("parts", c.Parts()).Str("struck", c.Struck()).Bool("restricted", c.Restricted()).
		Str("reason", a.Reason()).Msg(message)
}
