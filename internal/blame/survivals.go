package blame

import (
	"container/list"
	"time"
)

// maxSurvivals bounds the parts whose survival is remembered.
const maxSurvivals = 16384

// Sight states that engines of a version survived a prompt part.
type Sight struct {
	part    string
	version string
	at      time.Time
}

// NewSight returns the sight of a part at a version at a time.
func NewSight(part, version string, at time.Time) Sight {
	return Sight{
		part:    part,
		version: version,
		at:      at,
	}
}

// Part returns the part.
func (s Sight) Part() string { return s.part }

// Version returns the version of the engine.
func (s Sight) Version() string { return s.version }

// At returns the latest time at which an engine survived the part.
func (s Sight) At() time.Time { return s.at }

// survival is the latest survival of a part at a version.
type survival struct {
	suspect suspect
	at      time.Time
}

// Survivals remembers which prompt parts engines have survived lately. Its memory
// is bounded; the oldest survivals are dropped first.
type Survivals struct {
	// byPart holds the elements of order by part and version, and order the
	// survivals from the oldest.
	byPart map[partAt]map[string]*list.Element
	order  *list.List
}

// partAt identifies a part at a service.
type partAt struct {
	service string
	part    string
}

// NewSurvivals returns an empty set.
func NewSurvivals() *Survivals {
	return &Survivals{
		byPart: make(map[partAt]map[string]*list.Element),
		order:  list.New(),
	}
}

// Len returns the number of survivals.
func (s *Survivals) Len() int { return s.order.Len() }

// Add records that an engine survived a run.
func (s *Survivals) Add(now time.Time, r Run) {
	for front := s.order.Front(); front != nil && now.Sub(front.Value.(*survival).at) > memory; front = s.order.Front() {
		s.remove(front)
	}
	for _, part := range r.Parts() {
		k := partAt{
			service: r.Service(),
			part:    part,
		}
		if e := s.byPart[k][r.Version()]; e != nil {
			e.Value.(*survival).at = r.At()
			s.order.MoveToBack(e)
			continue
		}
		if s.order.Len() >= maxSurvivals {
			s.remove(s.order.Front())
		}
		if s.byPart[k] == nil {
			s.byPart[k] = make(map[string]*list.Element)
		}
		s.byPart[k][r.Version()] = s.order.PushBack(&survival{
			suspect: suspect{
				service: r.Service(),
				part:    part,
				version: r.Version(),
			},
			at: r.At(),
		})
	}
}

func (s *Survivals) remove(e *list.Element) {
	u := s.order.Remove(e).(*survival).suspect
	k := partAt{
		service: u.service,
		part:    u.part,
	}
	delete(s.byPart[k], u.version)
	if len(s.byPart[k]) == 0 {
		delete(s.byPart, k)
	}
}

// Since returns the parts, out of those given, that engines of the service have
// survived after a time, with the versions.
func (s *Survivals) Since(service string, parts []string, after time.Time) []Sight {
	var list []Sight
	for _, part := range parts {
		k := partAt{
			service: service,
			part:    part,
		}
		for version, e := range s.byPart[k] {
			if at := e.Value.(*survival).at; at.After(after) {
				list = append(list, NewSight(part, version, at))
			}
		}
	}
	return list
}
