package edge

import (
	"context"
	"path"
	"time"

	"clementinelink.example/clementinelink/internal/roster"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/tree"
	"github.com/cockroachdb/errors"
)

const (
	// enrolLease is the lease duration of a VM's own key; other VMs stop
	// counting the VM when it expires. It is the longest lease that the store
	// grants, because counting a stopped VM only makes the other VMs' shares
	// of the common limits smaller.
	enrolLease = 10 * time.Minute
	// enrolRetryDelay is the delay before a failed enrolment is retried.
	enrolRetryDelay = 2 * time.Second
)

// self returns the VM as the others see it. distance is the time of a call of the
// store, or 0 if it is unknown.
func (v *VM) self(distance time.Duration) tree.VM {
	own := tree.NewVM(v.settings.Name, v.settings.Feed, v.settings.LinkMbps)
	return own.In(v.settings.Domain, v.settings.Region).WithDistance(distance)
}

// domainPrefix returns the prefix of the keys of the VMs in the failure domain.
func (v *VM) domainPrefix() string { return v.sources.EnrolledPrefix + v.settings.Domain + "/" }

// enrol keeps the VM's own key in the store until ctx ends, so that all VMs know
// how many share the common limits and which serve changes of the store.
func (v *VM) enrol(ctx context.Context) {
	for ctx.Err() == nil {
		wait := enrolRetryDelay
		err := v.enrolOnce(ctx)
		if errors.Is(err, store.ErrConflict) {
			err = v.enrolOnce(ctx)
		}
		switch {
		case err == nil:
			wait = enrolLease / 2
		case ctx.Err() == nil:
			v.log.Warn().Err(err).Msg("edge: Enrolment failed.")
			v.watcher.join(nil)
		}
		sleep(ctx, wait)
	}
}

// enrolOnce renews the VM's lease, or writes its key under a new lease. If the
// VM's previous process left a key with the same value, it is not rewritten
// until its lease expires.
func (v *VM) enrolOnce(ctx context.Context) error {
	if v.lease != "" {
		if err := v.store.Renew(ctx, v.lease); !errors.Is(err, store.ErrExpired) {
			return err
		}
		v.lease = ""
	}
	revision := uint64(0)
	if !v.settings.FirstStart {
		own, vms, err := v.readDomain(ctx)
		if err != nil {
			return err
		}
		if stored, err := roster.Decode(own); err == nil && own.Revision() > 0 && roster.Same(stored, v.self(0)) {
			v.watcher.join(vms)
			return nil
		}
		revision = own.Revision()
	}
	// The key exists at the first start of all VMs if this process was restarted.
	// The next call reads it.
	v.settings.FirstStart = false
	if err := v.writeEnrolment(ctx, revision); err != nil {
		return err
	}
	if v.watcher.isJoined.Load() {
		return nil
	}
	// When all VMs start at once, the others have enrolled only now.
	_, vms, err := v.readDomain(ctx)
	if err != nil {
		return err
	}
	v.watcher.join(vms)
	return nil
}

// readDomain returns the VM's own key and the VMs of the failure domain that serve
// changes of the store, including the one itself.
func (v *VM) readDomain(ctx context.Context) (own store.Entry, vms []tree.VM, err error) {
	entries, _, err := v.store.List(ctx, v.domainPrefix())
	if err != nil {
		return store.Entry{}, nil, err
	}
	vms = append(vms, v.self(0))
	for _, e := range entries {
		if path.Base(e.Key()) == v.settings.Name {
			own = e
			continue
		}
		if n, err := roster.Decode(e); err == nil && n.Address() != "" {
			vms = append(vms, n)
		}
	}
	return own, vms, nil
}

// writeEnrolment writes the VM's own key, whose present revision is given, under a
// new lease.
func (v *VM) writeEnrolment(ctx context.Context, revision uint64) error {
	began := time.Now()
	lease, err := v.store.Grant(ctx, enrolLease)
	if err != nil {
		return err
	}
	value, err := roster.Encode(v.self(time.Since(began)))
	if err != nil {
		return err
	}
	mine := func(e store.Entry) bool { return e.Lease() == lease }
	if _, err := v.store.PutConfirmed(ctx, v.domainPrefix()+v.settings.Name, value, revision, lease, mine); err != nil {
		return err
	}
	v.lease = lease
	return nil
}
