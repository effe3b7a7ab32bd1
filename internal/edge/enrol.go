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
	// enrolSpan is the lease of a VM's own key, after which other VMs no
	// longer count it. It is the store's longest, since a VM that is gone only
	// makes the others' shares of common limits smaller.
	enrolSpan = 10 * time.Minute
	// enrolAgain is the pause before a failed enrolment is tried again.
	enrolAgain = 2 * time.Second
)

// enrolment is the value of a VM's own key.
type enrolment struct {
	Domain string `json:"domain"`
	// Feed is the IP:port at which the VM gives changes of the store, or "".
	Feed string `json:"feed,omitempty"`
	// Link is the width of the VM's link in Mbit/s, or 0.
	Link float64 `json:"link,omitempty"`
}

// enrol is the duty that keeps the VM's own key in the store, so that all VMs
// know how many share the common limits.
func (v *VM) enrol(ctx context.Context) {
	for ctx.Err() == nil {
		wait := enrolAgain
		err := v.enrolOnce(ctx)
		switch {
		case err == nil:
			wait = enrolSpan / 2
		case ctx.Err() == nil:
			v.log.Warn().Err(err).Msg("edge: The VM is not enrolled.")
		}
		pause(ctx, wait)
	}
}

// enrolOnce renews the VM's lease, or writes its key under a new one. A key of
// the VM's former process that says the same is left as it is until its lease
// ends.
func (v *VM) enrolOnce(ctx context.Context) error {
	if v.lease != "" {
		if err := v.store.Renew(ctx, v.lease); !errors.Is(err, store.ErrExpired) {
			return err
		}
		v.lease = ""
	}
	key := v.sources.Enrolled + v.settings.Name
	value, err := json.Marshal(enrolment{
		Domain: v.settings.Domain,
		Feed:   v.settings.Feed,
		Link:   v.settings.Link,
	})
	if err != nil {
		return errors.Wrap(err, "edge: enrolment")
	}
	e, err := v.store.Get(ctx, key)
	if err != nil || e.Revision() > 0 && bytes.Equal(e.Value(), value) {
		return err
	}
	lease, err := v.store.Grant(ctx, enrolSpan)
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
