package edge

import (
	"context"
	"maps"
	"path"
	"slices"
	"strings"

	"clementinelink.example/clementinelink/internal/feed"
	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/store"
)

// applyChange applies a change of the store. An invalid entry removes its
// upstream.
func (v *VM) applyChange(ctx context.Context, c follow.Change) {
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
		listed = append(listed, entry)
	}
	// Upstreams that leave come first: the other receivers may make the VM wait.
	v.dispatcher.events.Put(ctx, queuedEvent{
		event:   proxy.NewMembers(listed, gone),
		applied: v.progress.begin(c.Confirmed(), c.Len()),
	})
	if !maps.Equal(v.peers, before) {
		v.updateFeedVMs()
		v.dispatcher.notify(ctx, proxy.NewPeers(v.settings.Name, v.peerNames()))
		v.mover.updates.Put(ctx, storeUpdate{
			peers: v.peerNames(),
		})
		v.accord.SetVMs(ctx, v.feedAddresses())
	}
	v.accord.Apply(ctx, c)
	v.mover.updates.Put(ctx, storeUpdate{
		change: &c,
	})
}

// applyEnrolment applies the key of a VM. A VM whose value is invalid still
// counts.
func (v *VM) applyEnrolment(e store.Entry) {
	n, err := decodeEnrolment(e)
	if err != nil {
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
		if strings.HasPrefix(key, v.domainPrefix()) && n.Feed != "" {
			vms = append(vms, n.vm(key))
		}
	}
	v.watcher.reader.SetVMs(vms)
}

// feedAddresses returns the feed addresses of the enrolled VMs by name.
func (v *VM) feedAddresses() map[string]string {
	addresses := make(map[string]string)
	for key, n := range v.peers {
		if n.Feed != "" {
			addresses[path.Base(key)] = n.Feed
		}
	}
	return addresses
}

// peerNames returns the names of the enrolled VMs, sorted.
func (v *VM) peerNames() []string {
	names := make([]string, 0, len(v.peers))
	for key := range v.peers {
		names = append(names, path.Base(key))
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
