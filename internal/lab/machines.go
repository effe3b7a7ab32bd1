package lab

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/node"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/simeng"
	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/simvms"
	"clementinelink.example/clementinelink/internal/world"
)

// platform starts the stand-ins of the platform and the links.
func (s *Site) platform(ctx context.Context) error {
	s.store = simkv.New()
	at, err := s.listen(func(l net.Listener) { _ = s.store.Serve(ctx, l) })
	if err != nil {
		return err
	}
	s.storeAt = at
	for i, z := range s.zones {
		list := simvms.New(0)
		at, err := s.listen(func(l net.Listener) { _ = list.Serve(ctx, l) })
		if err != nil {
			return err
		}
		s.lists[z.name] = list
		s.listAt[z.name] = at
		for _, o := range s.zones[:i] {
			s.links[[2]string{min(z.name, o.name), max(z.name, o.name)}] = NewLink(s.delay(z, o))
		}
	}
	return nil
}

// listen opens a loopback listener for a stand-in and returns its address.
func (s *Site) listen(serve func(l net.Listener)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "lab: listen")
	}
	s.tasks.Go(func() { serve(l) })
	return l.Addr().String(), nil
}

// enlist adds a VM to every failure domain's list, behind a link where the VM
// stands in another domain.
func (s *Site) enlist(ctx context.Context, name string, kind world.Kind, address string, z Zone, service string) error {
	s.zoneOf[name] = z.name
	for _, o := range s.zones {
		seen := address
		if o.name != z.name {
			at, err := s.Link(o.name, z.name).Forward(ctx, &s.tasks, address)
			if err != nil {
				return err
			}
			seen = at
		}
		s.lists[o.name].Add(world.NewVM(name, kind, seen, z.name, z.region).Serving(service))
	}
	return nil
}

func (s *Site) addEngine(ctx context.Context, z Zone, i int) error {
	name := fmt.Sprintf("%s-engine-%d", z.name, i)
	e := simeng.New(name, append([]simeng.Option{simeng.WithAddress(s.host + ":0")}, s.options...)...)
	if err := e.Start(); err != nil {
		return errors.Wrapf(err, "lab: engine %s", name)
	}
	s.engines = append(s.engines, e)
	return s.enlist(ctx, name, world.Engine, e.Address(), z, "draft")
}

func (s *Site) addNode(ctx context.Context, z Zone, i int) error {
	name := fmt.Sprintf("%s-entry-%d", z.name, i)
	store, err := s.storeFor(ctx, z)
	if err != nil {
		return err
	}
	set := &node.Settings{
		Name:   name,
		Region: z.region,
		Domain: z.name,
		Listen: s.host + ":0",
		Admin:  s.host + ":0",
		Peer:   s.host + ":0",
		Store:  "http://" + store,
		VMs:    "http://" + s.listAt[z.name],
		Keys:   cursorKey,
		Seed:   uint64(len(s.nodes) + 1),
		Pulls:  s.pulls,
		Level:  "warn",
		Format: "json",
	}
	if err := set.Check(); err != nil {
		return errors.Wrapf(err, "lab: entry VM %s", name)
	}
	n, err := s.boot(ctx, set)
	if err != nil {
		return err
	}
	set.Listen = n.Addr()
	set.Admin = n.AdminAddr()
	set.Peer = n.PeerAddr()
	s.nodes = append(s.nodes, n)
	s.settings = append(s.settings, set)
	return s.enlist(ctx, name, world.Entry, n.PeerAddr(), z, "")
}

// boot starts an entry VM. It knows the site's configuration before its first
// caller, as a VM does that isn't ready before.
func (s *Site) boot(ctx context.Context, set *node.Settings) (*node.Node, error) {
	n, err := node.New(set, s.log.With().Str("vm", set.Name).Logger())
	if err != nil {
		return nil, err
	}
	if s.onReport != nil {
		n.OnReport(func(_ time.Time, r *relay.Response) { s.onReport(r) })
	}
	if s.simple > 0 {
		n.Simple(s.simple)
	}
	if s.plain {
		n.Plain()
	}
	return n, n.Start(ctx)
}

// Crash stops the numbered entry VM at once and reports whether it ran. One
// duty at a time may crash and restart VMs.
func (s *Site) Crash(i int) bool {
	if s.down[i] {
		return false
	}
	s.down[i] = true
	s.nodes[i].Close()
	return true
}

// Restart starts a crashed entry VM again, on its address and without any of
// its state.
func (s *Site) Restart(i int) error {
	if !s.down[i] {
		return nil
	}
	var last error
	for range restartTries {
		n, err := s.boot(s.ctx, s.settings[i])
		if err == nil {
			s.nodes[i] = n
			delete(s.down, i)
			return nil
		}
		last = err
		time.Sleep(restartPause)
	}
	return errors.Wrapf(last, "lab: restart %s", s.settings[i].Name)
}
