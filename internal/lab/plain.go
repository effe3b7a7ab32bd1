package lab

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/simsvc"
	"clementinelink.example/clementinelink/internal/world"
	"clementinelink.example/clementinelink/pkg/decl"
)

const (
	// plainServiceName is the name of the lab's plain service.
	plainServiceName = "desk"
	bookingPath      = "/desk/bookings"
	lookupPath       = "/desk/lookups/"
	// The deadlines of the routes. Callers accept some seconds for a booking,
	// while a late lookup stalls a loom.
	bookingDeadline = 2 * time.Second
	lookupDeadline  = 500 * time.Millisecond
)

// WithPlainServices returns a copy of z with the given number of plain services.
func (z Zone) WithPlainServices(n int) Zone {
	z.plainServices = n
	return z
}

// PlainServices returns the plain services in the order of their failure
// domains.
func (s *Site) PlainServices() []*simsvc.Service { return s.plainServices }

// RunCounts returns how often each booking reference ran, over all plain
// services.
func (s *Site) RunCounts() map[string]int {
	ran := make(map[string]int)
	for _, p := range s.plainServices {
		for _, e := range p.Record() {
			if e.Ref() != "" {
				ran[e.Ref()]++
			}
		}
	}
	return ran
}

func (s *Site) addPlainService(ctx context.Context, z Zone, i int) error {
	name := fmt.Sprintf("%s-plain-%d", z.name, i)
	p := simsvc.New(name, simsvc.WithAddress(s.hostIP+":0"), simsvc.WithListen(s.listen))
	if err := p.Start(); err != nil {
		return errors.Wrapf(err, "lab: plain service %s", name)
	}
	s.plainServices = append(s.plainServices, p)
	return s.registerVM(ctx, name, world.Plain, p.Address(), z, plainServiceName)
}

// declarePlainServices declares the plain service if the deployment has one.
func (s *Site) declarePlainServices(d *decl.Declaration) {
	for _, z := range s.zones {
		if z.plainServices > 0 {
			d.Plain(decl.NewPlain(plainServiceName, decl.NewContract(bookingDeadline),
				decl.NewRoute("book", "POST", bookingPath, bookingDeadline),
				decl.NewRoute("look", "GET", lookupPath, lookupDeadline).Repeatable()))
			return
		}
	}
}

// storeAddrFor returns the store's address as seen from a failure domain. The
// store is in the first domain.
func (s *Site) storeAddrFor(ctx context.Context, z Zone) (string, error) {
	home := s.zones[0]
	if z.name == home.name {
		return s.storeAddr, nil
	}
	return s.Link(home.name, z.name).Forward(ctx, &s.tasks, s.storeAddr)
}
