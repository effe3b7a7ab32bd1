package lab

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/netsim"
	"clementinelink.example/clementinelink/internal/node"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/simeng"
	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/simvms"
	"clementinelink.example/clementinelink/internal/world"
)

// startPlatform starts the store, the VM lists and the links.
func (s *Site) startPlatform(ctx context.Context) error {
	s.store = simkv.New()
	at, err := s.serve(func(l net.Listener) { _ = s.store.Serve(ctx, l) })
	if err != nil {
		return err
	}
	s.storeAddr = at
	for i, z := range s.zones {
		list := simvms.New(0)
		at, err := s.serve(func(l net.Listener) { _ = list.Serve(ctx, l) })
		if err != nil {
			return err
		}
		s.vmLists[z.name] = list
		s.vmListAddrs[z.name] = at
		for _, o := range s.zones[:i] {
			s.links[[2]string{min(z.name, o.name), max(z.name, o.name)}] = netsim.NewLink(s.delay(z, o)).WithNetwork(s.listen, s.dial)
		}
	}
	return nil
}

// serve opens a loopback listener for a simulated service and returns its
// address.
func (s *Site) serve(serve func(l net.Listener)) (string, error) {
	l, err := s.listen("127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "lab: listen")
	}
	s.tasks.Go(func() { serve(l) })
	return l.Addr().String(), nil
}

// registerVM adds a VM to the list of every failure domain. Other domains see
// the address of a link to the VM.
func (s *Site) registerVM(ctx context.Context, name string, kind world.Kind, address string, z Zone, service string) error {
	s.zoneOf[name] = z.name
	for _, o := range s.zones {
		visibleAddr := address
		if o.name != z.name {
			at, err := s.Link(o.name, z.name).Forward(ctx, &s.tasks, address)
			if err != nil {
				return err
			}
			visibleAddr = at
		}
		s.vmLists[o.name].Add(world.NewVM(name, kind, visibleAddr, z.name, z.region).WithService(service))
	}
	return nil
}

func (s *Site) addEngine(ctx context.Context, z Zone, i int) error {
	name := fmt.Sprintf("%s-engine-%d", z.name, i)
	e := simeng.New(name, append([]simeng.Option{simeng.WithAddress(s.hostIP + ":0"), simeng.WithListen(s.listen)}, s.options...)...)
	if err := e.Start(); err != nil {
		return errors.Wrapf(err, "lab: engine %s", name)
	}
	s.engines = append(s.engines, e)
	return s.registerVM(ctx, name, world.Engine, e.Address(), z, "draft")
}

func (s *Site) addNode(ctx context.Context, z Zone, i int) error {
	name := fmt.Sprintf("%s-entry-%d", z.name, i)
	storeAddr, err := s.storeAddrFor(ctx, z)
	if err != nil {
		return err
	}
	settings := &node.Settings{
		Name:         name,
		Region:       z.region,
		Domain:       z.name,
		Listen:       s.hostIP + ":0",
		Admin:        s.hostIP + ":0",
		Peer:         s.hostIP + ":0",
		Store:        "http://" + storeAddr,
		VMs:          "http://" + s.vmListAddrs[z.name],
		Keys:         cursorKey,
		Seed:         uint64(len(s.nodes) + 1),
		PullInterval: s.loadOrderInterval,
		Level:        "warn",
		Format:       "json",
	}
	settings.WithNetwork(s.listen, s.dial)
	if err := settings.Check(); err != nil {
		return errors.Wrapf(err, "lab: entry VM %s", name)
	}
	n, err := s.startNode(ctx, settings)
	if err != nil {
		return err
	}
	settings.Listen = n.Addr()
	settings.Admin = n.AdminAddr()
	settings.Peer = n.PeerAddr()
	s.nodes = append(s.nodes, n)
	s.settings = append(s.settings, settings)
	return s.registerVM(ctx, name, world.Entry, n.PeerAddr(), z, "")
}

// startNode starts an entry VM. It doesn't wait until the VM has loaded the
// configuration and is ready for callers.
func (s *Site) startNode(ctx context.Context, settings *node.Settings) (*node.Node, error) {
	n, err := node.New(settings, s.log.With().Str("vm", settings.Name).Logger())
	if err != nil {
		return nil, err
	}
	if s.onResponse != nil {
		n.OnResponseEnd(func(_ time.Time, r *relay.Response) { s.onResponse(r) })
	}
	if s.baselineTimeout > 0 {
		n.UseBaselinePolicy(s.baselineTimeout)
	}
	if s.baselineAdmission {
		n.UseBaselineAdmission()
	}
	return n, n.Start(ctx)
}

// Crash stops the entry VM with the given index without a shutdown and reports
// whether it was running. Crash and Restart must not be called concurrently.
func (s *Site) Crash(i int) bool {
	if s.down[i] {
		return false
	}
	s.down[i] = true
	s.nodes[i].Close()
	return true
}

// Restart starts a crashed entry VM again on the same address, without any of
// its former state.
func (s *Site) Restart(i int) error {
	if !s.down[i] {
		return nil
	}
	var last error
	for range restartAttempts {
		n, err := s.startNode(s.ctx, s.settings[i])
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
