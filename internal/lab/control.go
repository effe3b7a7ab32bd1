package lab

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/node"
)

// StoreAddr returns the store's address as seen from the first failure domain.
func (s *Site) StoreAddr() string { return s.storeAddr }

// VMListAddr returns the address of the VM list served to a failure domain.
func (s *Site) VMListAddr(domain string) string { return s.vmListAddrs[domain] }

// EntryName returns the name of the entry VM with the given index.
func (s *Site) EntryName(i int) string { return s.settings[i].Name }

// EntryIndex returns the index of the entry VM with the given name, or -1.
func (s *Site) EntryIndex(name string) int {
	return slices.IndexFunc(s.settings, func(settings *node.Settings) bool { return settings.Name == name })
}

// MarkLeaving marks a VM as leaving in the list of every failure domain.
func (s *Site) MarkLeaving(name string) {
	for _, l := range s.vmLists {
		l.MarkLeaving(name)
	}
}

// RemoveVM removes a VM from the list of every failure domain.
func (s *Site) RemoveVM(name string) {
	for _, l := range s.vmLists {
		l.Remove(name)
	}
}

// ShutDown shuts an entry VM down as SIGTERM does. The VM first reports itself
// as not ready for the time drain, so that a load balancer can notice. ShutDown
// returns when every request has finished.
func (s *Site) ShutDown(ctx context.Context, i int, drain time.Duration) error {
	if s.down[i] {
		return errors.Newf("lab: %s is down", s.settings[i].Name)
	}
	s.down[i] = true
	s.settings[i].Drain = drain
	return s.nodes[i].Shutdown(ctx)
}

// LoseDomain crashes every entry VM of a failure domain and cuts its links,
// which makes its engines and plain services unreachable. The store is in the
// first domain and is lost with it.
func (s *Site) LoseDomain(name string) {
	s.cutDomain(name, true)
	for i, set := range s.settings {
		if set.Domain == name {
			s.Crash(i)
		}
	}
}

// RestoreDomain undoes LoseDomain.
func (s *Site) RestoreDomain(name string) error {
	s.cutDomain(name, false)
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

func (s *Site) cutDomain(name string, cut bool) {
	for _, z := range s.zones {
		if z.name != name {
			s.Link(name, z.name).Cut(cut)
		}
	}
}
