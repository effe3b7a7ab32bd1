// Package roster holds which entry VMs are enrolled in the store, and encodes what
// each tells the others there.
package roster

import (
	"encoding/json"
	"maps"
	"path"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/tree"
	"github.com/cockroachdb/errors"
)

// body is the stored form of a VM. Its key ends in the failure domain and the name.
type body struct {
	// Feed is the IP:port at which the VM serves changes of the store to other VMs, or
	// "" if it does not.
	Feed string `json:"feed,omitempty"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s, or 0 if it is
	// unknown.
	LinkMbps float64 `json:"link,omitempty"`
	Region   string  `json:"region,omitempty"`
	// DistanceMs is the time of a call of the store in ms, or 0 if it is unknown.
	DistanceMs int64 `json:"distance,omitempty"`
}

// Encode returns the value that v stores under its key.
func Encode(v tree.VM) ([]byte, error) {
	value, err := json.Marshal(body{
		Feed:       v.Address(),
		LinkMbps:   v.LinkMbps(),
		Region:     v.Region(),
		DistanceMs: v.Distance().Milliseconds(),
	})
	return value, errors.Wrap(err, "roster: encode")
}

// Decode returns the VM that an entry describes. If the value is invalid, it returns
// the VM without an address and the error, since the VM still exists.
func Decode(e store.Entry) (tree.VM, error) {
	var b body
	err := json.Unmarshal(e.Value(), &b)
	if err != nil {
		b = body{}
	}
	v := tree.NewVM(path.Base(e.Key()), b.Feed, b.LinkMbps).In(path.Base(path.Dir(e.Key())), b.Region)
	return v.WithDistance(time.Duration(b.DistanceMs) * time.Millisecond), errors.Wrapf(err, "roster: value of %q", e.Key())
}

// Same reports whether two descriptions of a VM agree in all but the distance, which
// differs from one measurement to the next.
func Same(a, b tree.VM) bool { return a.WithDistance(0) == b.WithDistance(0) }

// Roster is the set of enrolled VMs. It is not safe for concurrent use.
type Roster struct {
	vms map[string]tree.VM
	// changed is true if a VM was added, removed or changed since the last Update.
	changed bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		vms: make(map[string]tree.VM),
	}
}

// Put adds or replaces the VM of an entry. It returns the error of an invalid value;
// the VM counts all the same.
func (r *Roster) Put(e store.Entry) error {
	v, err := Decode(e)
	if old, ok := r.vms[e.Key()]; !ok || old != v {
		r.vms[e.Key()] = v
		r.changed = true
	}
	return err
}

// Delete removes the VM with a key, if there is one.
func (r *Roster) Delete(key string) {
	if _, ok := r.vms[key]; ok {
		delete(r.vms, key)
		r.changed = true
	}
}

// Update reports whether the VMs have changed since the last call.
func (r *Roster) Update() bool {
	changed := r.changed
	r.changed = false
	return changed
}

// Names returns the names of the VMs, sorted.
func (r *Roster) Names() []string {
	names := make([]string, 0, len(r.vms))
	for _, v := range r.vms {
		names = append(names, v.Name())
	}
	slices.Sort(names)
	return names
}

// Servers returns the VMs that serve changes of the store, in the order of their keys.
func (r *Roster) Servers() []tree.VM {
	var vms []tree.VM
	for _, key := range slices.Sorted(maps.Keys(r.vms)) {
		if v := r.vms[key]; v.Address() != "" {
			vms = append(vms, v)
		}
	}
	return vms
}

// Addresses returns the addresses of the VMs that serve changes, by name.
func (r *Roster) Addresses() map[string]string {
	addresses := make(map[string]string)
	for _, v := range r.Servers() {
		addresses[v.Name()] = v.Address()
	}
	return addresses
}
