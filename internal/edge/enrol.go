package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"clementinelink.example/clementinelink/internal/store"
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

// enrolment is the value that a VM stores under its own key.
type enrolment struct {
	Domain string `json:"domain"`
	// Feed is the IP:port at which the VM serves changes of the store to other
	// VMs, or "" if it does not.
	Feed string `json:"feed,omitempty"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s, or 0 if it is
	// unknown.
	LinkMbps float64 `json:"link,omitempty"`
}

// enrol keeps the VM's own key in the store until ctx ends, so that all VMs know
// how many share the common limits.
func (v *VM) enrol(ctx context.Context) {
	for ctx.Err() == nil {
		wait := enrolRetryDelay
		err := v.enrolOnce(ctx)
		switch {
		case err == nil:
			wait = enrolLease / 2
		case ctx.Err() == nil:
			v.log.Warn().Err(err).Msg("edge: Enrolment failed.")
		}
		pause(ctx, wait)
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
	key := v.sources.EnrolledPrefix + v.settings.Name
	value, err := json.Marshal(enrolment{
		Domain:   v.settings.Domain,
		Feed:     v.settings.Feed,
		LinkMbps: v.settings.LinkMbps,
	})
	if err != nil {
		return errors.Wrap(err, "edge: enrolment")
	}
	e, err := v.store.Get(ctx, key)
	if err != nil || e.Revision() > 0 && bytes.Equal(e.Value(), value) {
		return err
	}
	lease, err := v.store.Grant(ctx, enrolLease)
	if err != nil {
		return err
	}
	mine := func(e store.Entry) bool { return e.Lease() == lease }
	if _, err := v.store.PutConfirmed(ctx, key, value, e.Revision(), lease, mine); err != nil {
		return err
	}
	v.lease = lease
	return nil
}
