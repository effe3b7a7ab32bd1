package edge

import (
	"context"
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/pause"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/store"
)

// applyChange applies a change of the store. An invalid entry removes its
// upstream.
func (v *VM) applyChange(ctx context.Context, c follow.Change) {
	var listed []pool.Entry
	var gone []string
	for _, key := range c.Deleted() {
		v.peers.Delete(key)
		if id := v.sources.ID(key); id != "" {
			gone = append(gone, id)
		}
	}
	for _, e := range c.Put() {
		if v.sources.IsTable(e.Key()) {
			v.configure(ctx, e)
		}
		if strings.HasPrefix(e.Key(), v.sources.EnrolledPrefix) {
			if err := v.peers.Put(e); err != nil {
				v.log.Warn().Err(err).Str("revision", store.Text(e.Revision())).Msg("edge: Invalid VM key.")
			}
		}
		id := v.sources.ID(e.Key())
		if id == "" {
			continue
		}
		entry, err := v.sources.Entry(e.Key(), e.Value())
		if err != nil {
			v.log.Warn().Err(err).Str("key", e.Key()).Str("revision", store.Text(e.Revision())).Msg("pool: An entry is skipped.")
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
	if v.peers.Update() {
		names := v.peers.Names()
		if !v.watcher.alone {
			v.watcher.reader.SetVMs(v.peers.Servers())
		}
		v.dispatcher.notify(ctx, proxy.NewPeers(v.settings.Name, names))
		v.mover.updates.Put(ctx, storeUpdate{
			peers: names,
		})
		v.accord.SetVMs(ctx, v.peers.Addresses())
	}
	v.enrol.Apply(ctx, c)
	v.accord.Apply(ctx, c)
	v.mover.updates.Put(ctx, storeUpdate{
		change: &c,
	})
}

// configure decodes a routing table and passes it to the dispatcher.
func (v *VM) configure(ctx context.Context, e store.Entry) {
	began := time.Now()
	t, err := v.sources.Table(e.Value())
	took := time.Since(began)
	v.metrics.Histogram("read_seconds", "Time that it took to read a version of the configuration.").Observe(took)
	if err != nil {
		v.log.Error().Err(err).Str("key", e.Key()).Str("revision", store.Text(e.Revision())).Msg("config: A version can't be read.")
		return
	}
	if took >= pause.Shortest {
		v.dispatcher.notify(ctx, proxy.Event{}.Late(took))
	}
	v.log.Info().Int64("version", t.Version()).Int("bytes", len(e.Value())).Int64("ms", took.Milliseconds()).Msg("config: A version was read.")
	v.dispatcher.notify(ctx, proxy.NewConfigure(t))
}
