package edge

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"clementinelink.example/clementinelink/internal/feed"
	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/store"
)

// services returns the names of the services in the current table, or nil before
// the first table. It may be called concurrently.
func (v *VM) services() []string {
	if t := v.dispatcher.table.Load(); t != nil {
		return t.ServiceNames()
	}
	return nil
}

// applyChange applies a change of the store and returns the service of each
// upstream that the change adds or updates, by key. An invalid entry removes
// its upstream.
func (v *VM) applyChange(ctx context.Context, c follow.Change) map[string]string {
	services := make(map[string]string)
	var listed []pool.Entry
	var gone []string
	before := maps.Clone(v.peers)
	for _, key := range c.Deleted() {
		delete(v.peers, key)
		if id := v.sources.ID(key); id != "" {
			gone = append(gone, id)
		}
	}
	for _, e := range c.Put() {
		if v.sources.IsTable(e.Key()) {
			v.configure(ctx, e)
		}
		if strings.HasPrefix(e.Key(), v.sources.EnrolledPrefix) {
			v.applyEnrolment(e)
		}
		id := v.sources.ID(e.Key())
		if id == "" {
			continue
		}
		entry, err := v.sources.Entry(e.Key(), e.Value())
		if err != nil {
			v.log.Warn().Err(err).Str("key", e.Key()).Uint64("revision", e.Revision()).Msg("pool: An entry is skipped.")
			gone = append(gone, id)
			continue
		}
		services[e.Key()] = entry.Service()
		listed = append(listed, entry)
	}
	if !maps.Equal(v.peers, before) {
		v.updateFeedVMs()
		v.dispatcher.notify(ctx, proxy.NewPeers(len(v.peers)))
		v.mover.updates.Put(ctx, storeUpdate{
			peers: v.peerNames(),
		})
	}
	v.mover.updates.Put(ctx, storeUpdate{
		change: &c,
	})
	if len(listed)+len(gone) > 0 {
		v.dispatcher.notify(ctx, proxy.NewMembers(listed, gone))
	}
	return services
}

// applyEnrolment applies the key of a VM. A VM whose value is invalid still
// counts.
func (v *VM) applyEnrolment(e store.Entry) {
	var n enrolment
	if err := json.Unmarshal(e.Value(), &n); err != nil {
		v.log.Warn().Err(err).Str("key", e.Key()).Uint64("revision", e.Revision()).Msg("edge: Invalid VM key.")
	}
	v.peers[e.Key()] = n
}

// updateFeedVMs tells the feed reader which VMs of the failure domain serve
// changes.
func (v *VM) updateFeedVMs() {
	if v.watcher.reader == nil {
		return
	}
	var vms []feed.VM
	for key, n := range v.peers {
		if n.Domain == v.settings.Domain && n.Feed != "" {
			vms = append(vms, feed.NewVM(strings.TrimPrefix(key, v.sources.EnrolledPrefix), n.Feed, n.LinkMbps))
		}
	}
	v.watcher.reader.SetVMs(vms)
}

// peerNames returns the names of the enrolled VMs, sorted.
func (v *VM) peerNames() []string {
	names := make([]string, 0, len(v.peers))
	for key := range v.peers {
		names = append(names, strings.TrimPrefix(key, v.sources.EnrolledPrefix))
	}
	slices.Sort(names)
	return names
}

// configure decodes a routing table and passes it to the dispatcher.
func (v *VM) configure(ctx context.Context, e store.Entry) {
	t, err := v.sources.Table(e.Value())
	if err != nil {
		v.log.Error().Err(err).Str("key", e.Key()).Uint64("revision", e.Revision()).Msg("config: A version can't be read.")
		return
	}
	v.dispatcher.notify(ctx, proxy.NewConfigure(t))
}
