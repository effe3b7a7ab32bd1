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
	// plainService is the name of the lab's plain service.
	plainService = "desk"
	bookPath     = "/desk/bookings"
	lookPath     = "/desk/lookups/"
	// bookDeadline and lookDeadline are those of the routes: a caller waits some
	// seconds for a booking, while a late lookup stalls a loom.
	bookDeadline = 2 * time.Second
	lookDeadline = 500 * time.Millisecond
)

// WithPlains returns a copy of z with a number of plain services.
func (z Zone) WithPlains(n int) Zone {
	z.plains = n
	return z
}

// Plains returns the plain services in the order of their failure domains.
func (s *Site) Plains() []*simsvc.Service { return s.plains }

// Ran returns how often each reference of a booking ran on any plain service.
func (s *Site) Ran() map[string]int {
	ran := make(map[string]int)
	for _, p := range s.plains {
		for _, e := range p.Record() {
			if e.Ref() != "" {
				ran[e.Ref()]++
			}
		}
	}
	return ran
}

func (s *Site) addPlain(ctx context.Context, z Zone, i int) error {
	name := fmt.Sprintf("%s-plain-%d", z.name, i)
	p := simsvc.New(name, simsvc.WithAddress(s.host+":0"))
	if err := p.Start(); err != nil {
		return errors.Wrapf(err, "lab: plain service %s", name)
	}
	s.plains = append(s.plains, p)
	return s.enlist(ctx, name, world.Plain, p.Address(), z, plainService)
}

// declarePlains adds the plain service, if the deployment has one.
func (s *Site) declarePlains(d *decl.Declaration) {
	for _, z := range s.zones {
		if z.plains > 0 {
			d.Plain(decl.NewPlain(plainService, decl.NewContract(bookDeadline),
				decl.NewRoute("book", "POST", bookPath, bookDeadline),
				decl.NewRoute("look", "GET", lookPath, lookDeadline).Repeatable()))
			return
		}
	}
}

// storeFor returns the store's address as seen from a failure domain. The store
// stands in the first one.
func (s *Site) storeFor(ctx context.Context, z Zone) (string, error) {
	home := s.zones[0]
	if z.name == home.name {
		return s.storeAt, nil
	}
	return s.Link(home.name, z.name).Forward(ctx, &s.tasks, s.storeAt)
}
