package accord

import (
	"context"
	"encoding/json"
	"path"
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
)

// chargesPrefix is the prefix of the keys that hold charges. The service and the
// charge's id follow, separated by a slash.
const chargesPrefix = "charges/"

// stored is the stored form of a charge.
type stored struct {
	Service    string   `json:"service"`
	Parts      []string `json:"parts"`
	Struck     string   `json:"struck"`
	Restricted bool     `json:"restricted,omitempty"`
	// Again is true if the charge was written again after a restoration of the store.
	Again bool `json:"again,omitempty"`
}

// shelf keeps charges in the store.
type shelf struct {
	client *store.Client
}

func chargeKey(c blame.Charge) string { return chargesPrefix + c.Service() + "/" + c.ID() }

// chargeID returns the id of the charge under a key, and false for other keys.
func chargeID(key string) (string, bool) {
	return path.Base(key), strings.HasPrefix(key, chargesPrefix)
}

func decodeEntry(e store.Entry) (charge blame.Charge, again bool, err error) {
	var s stored
	if err := json.Unmarshal(e.Value(), &s); err != nil {
		return blame.Charge{}, false, errors.Wrap(err, "accord: charge")
	}
	c := blame.NewCharge(s.Service, s.Parts, s.Struck, s.Restricted)
	if !c.Valid() || chargeKey(c) != e.Key() {
		return blame.Charge{}, false, errors.Newf("accord: charge %s under key %s", c.ID(), e.Key())
	}
	return c, s.Again, nil
}

// put stores a charge until its lease ends after left. The error is store.ErrConflict if
// another VM has stored it.
func (s *shelf) put(ctx context.Context, c blame.Charge, left time.Duration, again bool) error {
	value, err := json.Marshal(stored{
		Service:    c.Service(),
		Parts:      c.Parts(),
		Struck:     c.Struck(),
		Restricted: c.Restricted(),
		Again:      again,
	})
	if err != nil {
		return errors.Wrap(err, "accord: charge")
	}
	lease, err := s.client.Grant(ctx, left)
	if err != nil {
		return err
	}
	isOwn := func(e store.Entry) bool { return e.Lease() == lease }
	_, err = s.client.PutConfirmed(ctx, chargeKey(c), value, 0, lease, isOwn)
	return err
}

// remove deletes the key of a charge.
func (s *shelf) remove(ctx context.Context, c blame.Charge) error {
	e, err := s.client.Get(ctx, chargeKey(c))
	if err != nil || e.Revision() == 0 {
		return err
	}
	return s.client.Delete(ctx, chargeKey(c), e.Revision())
}
