package enrol

import (
	"context"
	"math/rand/v2"
	"path"
	"time"

	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/roster"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/tree"
	"github.com/rs/zerolog"
)

// Duty keeps a VM's own key in the store. Its exported methods may be called
// concurrently.
type Duty struct {
	self tree.VM
	// prefix is the prefix of the keys of the VMs in the failure domain.
	prefix string
	core   *Core
	// restored holds the VM's own key as a restored store lists it.
	restored *ring.Ring[store.Entry]

	list  func(ctx context.Context, prefix string) ([]store.Entry, uint64, error)
	grant func(ctx context.Context, ttl time.Duration) (string, error)
	put   func(ctx context.Context, key string, value []byte, expect uint64, lease string, isOwn func(store.Entry) bool) (uint64, error)
	renew func(ctx context.Context, lease string) error
	// join receives the VMs of the failure domain that serve changes of the store, once
	// they are known, or nil if they can't be read. joined reports whether it is of use
	// no more.
	join   func(vms []tree.VM)
	joined func() bool
	// rewritten is called when the key was lost in a restoration of the store.
	rewritten func()
	now       func() time.Time
	log       zerolog.Logger
}

// New returns the duty of the VM self, whose key begins with prefix, followed by its
// failure domain and its name. first is true if the store has no key of the VM; a wrong
// value costs a call. The duty passes the VMs of the failure domain to join until joined
// returns true, and calls rewritten if a restoration of the store has lost the key.
func New(self tree.VM, prefix string, first bool, c *store.Client, join func(vms []tree.VM), joined func() bool, rewritten func(), log zerolog.Logger) *Duty {
	return &Duty{
		self:      self,
		prefix:    prefix + self.Domain() + "/",
		core:      NewCore(self, first, rand.Float64),
		restored:  ring.New[store.Entry](1, ring.DropOldest),
		list:      c.List,
		grant:     c.Grant,
		put:       c.PutConfirmed,
		renew:     c.Renew,
		join:      join,
		joined:    joined,
		rewritten: rewritten,
		now:       time.Now,
		log:       log,
	}
}

// Apply applies a change of the store. It never blocks.
func (d *Duty) Apply(ctx context.Context, c follow.Change) {
	if !c.Restored() {
		return
	}
	own := store.Entry{}
	for _, e := range c.Put() {
		if e.Key() == d.key() {
			own = e
		}
	}
	d.restored.Put(ctx, own)
}

// Run keeps the VM's own key in the store until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s := d.core.Next(d.now())
		if s.Kind() == Wait {
			d.wait(ctx, s.Until().Sub(d.now()))
			continue
		}
		if err := d.perform(ctx, s); err != nil && ctx.Err() == nil {
			d.log.Warn().Err(err).Msg("enrol: A call failed.")
			d.join(nil)
		}
	}
}

// wait waits for a time, until the store was restored, or until ctx ends.
func (d *Duty) wait(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case own := <-d.restored.Out():
		again := d.core.Restored(d.now(), own)
		if again {
			d.rewritten()
		}
		d.log.Info().Bool("again", again).Str("lease", own.Lease()).Str("revision", store.Text(own.Revision())).Msg("enrol: The store was restored.")
	}
}

// perform performs one call and returns its error, unless the core resolves that at once.
func (d *Duty) perform(ctx context.Context, s Step) error {
	switch s.Kind() {
	case Renew:
		err := d.renew(ctx, s.Lease())
		d.core.Renewed(d.now(), err)
		return d.unresolved(err)
	case Read:
		own, vms, err := d.read(ctx)
		d.core.Found(d.now(), own, err)
		if err == nil && d.core.Next(d.now()).Kind() == Wait {
			d.join(vms)
		}
		return err
	default:
		lease, err := d.write(ctx, s.Expect())
		d.core.Written(d.now(), lease, err)
		if err != nil || d.joined() {
			return d.unresolved(err)
		}
		// When all VMs start at once, the others have enrolled only now.
		_, vms, err := d.read(ctx)
		if err == nil {
			d.join(vms)
		}
		return err
	}
}

// unresolved returns err if the core waits before the next call.
func (d *Duty) unresolved(err error) error {
	if d.core.Next(d.now()).Kind() == Wait {
		return err
	}
	return nil
}

// key returns the VM's own key.
func (d *Duty) key() string { return d.prefix + d.self.Name() }

// read returns the VM's own key and the VMs of the failure domain that serve changes of
// the store, including the one itself.
func (d *Duty) read(ctx context.Context) (own store.Entry, vms []tree.VM, err error) {
	entries, _, err := d.list(ctx, d.prefix)
	if err != nil {
		return store.Entry{}, nil, err
	}
	vms = append(vms, d.self)
	for _, e := range entries {
		if path.Base(e.Key()) == d.self.Name() {
			own = e
			continue
		}
		if v, err := roster.Decode(e); err == nil && v.Address() != "" {
			vms = append(vms, v)
		}
	}
	return own, vms, nil
}

// write writes the VM's own key, whose present revision is given, under a new lease.
func (d *Duty) write(ctx context.Context, expect uint64) (lease string, err error) {
	began := d.now()
	if lease, err = d.grant(ctx, leaseTime); err != nil {
		return "", err
	}
	value, err := roster.Encode(d.self.WithDistance(d.now().Sub(began)))
	if err != nil {
		return "", err
	}
	isOwn := func(e store.Entry) bool { return e.Lease() == lease }
	_, err = d.put(ctx, d.key(), value, expect, lease, isOwn)
	return lease, err
}
