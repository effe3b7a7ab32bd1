package simkv

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// entry is one stored value.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	// Lease is empty for a key that does not expire.
	Lease string `json:"lease,omitempty"`
}

// event is one change of a key.
type event struct {
	entry
	// Gone is true for a deletion; Revision is then that of the deletion.
	Gone bool `json:"gone,omitempty"`
}

// grant is a lease and the keys bound to it.
type grant struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// result is the outcome of a change.
type result uint8

const (
	done result = iota
	conflict
	noLease
)

// space holds the keys, leases and change log. The keeper owns it.
type space struct {
	// revision counts all changes of all keys and only increases.
	revision uint64
	entries  map[string]entry
	grants   map[string]*grant
	granted  uint64
	// log holds the retained events in order of revision.
	log    []event
	retain int
	// compacted is the highest revision no longer in log.
	compacted uint64
}

func newSpace(retain int) *space {
	return &space{
		entries: make(map[string]entry),
		grants:  make(map[string]*grant),
		retain:  retain,
	}
}

// put stores value if the key's revision is expect, 0 for an absent key.
func (s *space) put(key string, value []byte, expect uint64, lease string) (uint64, result) {
	old := s.entries[key]
	if old.Revision != expect {
		return old.Revision, conflict
	}
	if lease != "" && s.grants[lease] == nil {
		return old.Revision, noLease
	}
	s.unbind(old)
	s.revision++
	e := entry{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Lease:    lease,
	}
	s.entries[key] = e
	if lease != "" {
		s.grants[lease].keys[key] = true
	}
	s.record(event{
		entry: e,
	})
	return s.revision, done
}

// remove deletes the key if its revision is expect.
func (s *space) remove(key string, expect uint64) (uint64, result) {
	old, ok := s.entries[key]
	if !ok || old.Revision != expect {
		return old.Revision, conflict
	}
	s.drop(old)
	return s.revision, done
}

func (s *space) drop(e entry) {
	s.unbind(e)
	delete(s.entries, e.Key)
	s.revision++
	s.record(event{
		entry: entry{
			Key:      e.Key,
			Revision: s.revision,
		},
		Gone: true,
	})
}

func (s *space) unbind(e entry) {
	if g := s.grants[e.Lease]; g != nil {
		delete(g.keys, e.Key)
	}
}

func (s *space) record(e event) {
	s.log = append(s.log, e)
	if over := len(s.log) - s.retain; over > 0 {
		s.compacted = s.log[over-1].Revision
		s.log = append([]event(nil), s.log[over:]...)
	}
}

// compact forgets all events up to now.
func (s *space) compact() {
	s.compacted = s.revision
	s.log = nil
}

// list returns the entries below prefix in key order.
func (s *space) list(prefix string) []entry {
	found := []entry{}
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// events returns the changes below prefix after a revision; ok is false when
// some of them are compacted.
func (s *space) events(prefix string, after uint64) (found []event, ok bool) {
	if after < s.compacted {
		return nil, false
	}
	start := sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > after })
	for _, e := range s.log[start:] {
		if strings.HasPrefix(e.Key, prefix) {
			found = append(found, e)
		}
	}
	return found, true
}

// before returns the last retained event below prefix up to a revision.
func (s *space) before(prefix string, revision uint64) (event, bool) {
	for i := len(s.log) - 1; i >= 0; i-- {
		if e := s.log[i]; e.Revision <= revision && strings.HasPrefix(e.Key, prefix) {
			return e, true
		}
	}
	return event{}, false
}

func (s *space) grant(now time.Time, ttl time.Duration) string {
	s.granted++
	id := fmt.Sprintf("l%d", s.granted)
	s.grants[id] = &grant{
		ttl:     ttl,
		expires: now.Add(ttl),
		keys:    make(map[string]bool),
	}
	return id
}

func (s *space) renew(now time.Time, id string) (time.Duration, bool) {
	g := s.grants[id]
	if g == nil {
		return 0, false
	}
	g.expires = now.Add(g.ttl)
	return g.ttl, true
}

func (s *space) revoke(id string) bool {
	g := s.grants[id]
	if g == nil {
		return false
	}
	delete(s.grants, id)
	keys := make([]string, 0, len(g.keys))
	for k := range g.keys {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		s.drop(s.entries[k])
	}
	return true
}

// expire revokes the leases that end at or before now.
func (s *space) expire(now time.Time) {
	ids := []string{}
	for id, g := range s.grants {
		if !now.Before(g.expires) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		s.revoke(id)
	}
}

// next returns when the first lease ends; ok is false without leases.
func (s *space) next() (first time.Time, ok bool) {
	for _, g := range s.grants {
		if !ok || g.expires.Before(first) {
			first, ok = g.expires, true
		}
	}
	return first, ok
}
