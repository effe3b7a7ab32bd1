package lab

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/node"
)

// StoreAddr returns the store's address as seen from the first failure domain.
func (s *Site) StoreAddr() string { return s.storeAt }

// ListAddr returns the address of the VM list that a failure domain sees.
func (s *Site) ListAddr(domain string) string { return s.listAt[domain] }

// EntryName returns the name of the numbered entry VM.
func (s *Site) EntryName(i int) string { return s.settings[i].Name }

// Entry returns the number of the entry VM with the name, or -1.
func (s *Site) Entry(name string) int {
	return slices.IndexFunc(s.settings, func(set *node.Settings) bool { return set.Name == name })
}

// Leave marks a VM as leaving in the list of every failure domain.
func (s *Site) Leave(name string) {
	for _, l := range s.lists {
		l.Leave(name)
	}
}

// Unlist removes a VM from the list of every failure domain.
func (s *Site) Unlist(name string) {
	for _, l := range s.lists {
		l.Remove(name)
	}
}

// ShutDown ends the numbered entry VM as SIGTERM does; the load balancer has
// the time drain to notice. It returns when every request is finished.
func (s *Site) ShutDown(ctx context.Context, i int, drain time.Duration) error {
	if s.down[i] {
		return errors.Newf("lab: %s is down", s.settings[i].Name)
	}
	s.down[i] = true
	s.settings[i].Drain = drain
	return s.nodes[i].Shutdown(ctx)
}

// LoseDomain kills every engine and plain service and crashes every entry VM of
// a failure domain.
func (s *Site) LoseDomain(name string) {
	for _, e := range s.engines {
		if s.zoneOf[e.Name()] == name {
			e.Kill()
		}
	}
	for _, p := range s.plains {
		if s.zoneOf[p.Name()] == name {
			p.Kill()
		}
	}
	for i, set := range s.settings {
		if set.Domain == name {
			s.Crash(i)
		}
	}
}

// RestoreDomain starts what LoseDomain ended.
func (s *Site) RestoreDomain(name string) error {
	for _, e := range s.engines {
		if s.zoneOf[e.Name()] == name {
			if err := e.Restart(); err != nil {
				return err
			}
		}
	}
	for _, p := range s.plains {
		if s.zoneOf[p.Name()] == name {
			if err := p.Restart(); err != nil {
				return err
			}
		}
	}
	for i, set := range s.settings {
		if set.Domain != name {
			continue
		}
		if err := s.Restart(i); err != nil {
			return err
		}
	}
	return nil
}
