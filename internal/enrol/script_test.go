package enrol

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/tree"
	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
)

// contents is what the stand-in of the store holds.
type contents struct {
	era      uint64
	revision uint64
	granted  int
	// leases holds the leases in force, as the client names them.
	leases  map[string]bool
	entries map[string]store.Entry
}

// script runs the duty of the VM "a1" against a stand-in of the store. Times are in
// milliseconds since the start of the script.
type script struct {
	duty  *Duty
	began time.Time
	// stop stops the duty.
	stop func()

	// mutex guards the fields below.
	mutex sync.Mutex
	// down is true while the store answers no call.
	down  bool
	store contents
	copy  contents
	// follower turns lists of the store into changes.
	follower *follow.State
	joined   bool
	out      strings.Builder
}

// TestEnrolment guards against a VM that falls out of the list of VMs after a
// restoration of the store, against VMs that all write at once then, and against a lease
// of another VM that is renewed because its id was given out again.
func TestEnrolment(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{
				began:    time.Now(),
				follower: follow.NewState(),
				store: contents{
					leases:  make(map[string]bool),
					entries: make(map[string]store.Entry),
				},
			}
			ctx, cancel := context.WithCancel(t.Context())
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(ctx, t, d) })
			cancel()
			synctest.Wait()
		})
	})
}

func (s *script) run(ctx context.Context, t *testing.T, d *datadriven.TestData) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.out.Reset()
	switch d.Cmd {
	case "start":
		if s.stop != nil {
			s.stop()
		}
		ctx, s.stop = context.WithCancel(ctx)
		s.start(ctx, d.HasArg("first"))
		s.wait(0)
	case "run":
		var ms int
		d.ScanArgs(t, "ms", &ms)
		s.wait(time.Duration(ms) * time.Millisecond)
	case "down":
		s.down = true
	case "up":
		s.down = false
	case "copy":
		s.copy = s.store.clone()
	case "restore":
		era := s.store.era + 1
		s.store = s.copy.clone()
		s.store.era = era
		s.store.moveTo(era)
	case "list":
		s.duty.Apply(ctx, s.follower.Listed(time.Now(), s.store.list(), store.Position(s.store.era, s.store.revision)))
		s.wait(0)
	case "put":
		// Another VM writes its key under a lease of its own.
		s.mutex.Unlock()
		lease, err := s.grant(ctx, 0)
		if err == nil {
			_, err = s.put(ctx, strings.TrimSpace(d.Input), []byte("{}"), 0, lease, nil)
		}
		s.mutex.Lock()
		if err != nil {
			t.Fatal(err)
		}
	case "expire":
		s.store.expire(strings.TrimSpace(d.Input))
	case "keys":
		for _, e := range s.store.list() {
			fmt.Fprintf(&s.out, "%s %s lease %s\n", e.Key(), e.Value(), e.Lease())
		}
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return s.out.String()
}

// start starts the duty, whose random numbers are all 0.5.
func (s *script) start(ctx context.Context, first bool) {
	self := tree.NewVM("a1", "10.0.0.1:7200", 10).In("a", "north")
	join := func(vms []tree.VM) {
		defer s.lock()()
		s.joined = true
		s.note("join", strconv.Itoa(len(vms)))
	}
	joined := func() bool {
		defer s.lock()()
		return s.joined
	}
	rewritten := func() {
		defer s.lock()()
		s.note("rewritten")
	}
	s.duty = New(self, "vms/", first, store.New("http://127.0.0.1:0", 1), join, joined, rewritten, zerolog.Nop())
	s.duty.core.random = func() float64 { return 0.5 }
	s.duty.list, s.duty.grant, s.duty.put, s.duty.renew = s.list, s.grant, s.put, s.renew
	go s.duty.Run(ctx)
}

// wait lets the duty run for a time.
func (s *script) wait(d time.Duration) {
	s.mutex.Unlock()
	time.Sleep(d)
	synctest.Wait()
	s.mutex.Lock()
}

// lock locks the mutex and returns the function that unlocks it.
func (s *script) lock() (unlock func()) {
	s.mutex.Lock()
	return s.mutex.Unlock
}

// note prints an event with its time. The caller must hold the mutex.
func (s *script) note(words ...string) {
	fmt.Fprintf(&s.out, "%d %s\n", time.Since(s.began).Milliseconds(), strings.Join(words, " "))
}

func (s *script) list(_ context.Context, prefix string) ([]store.Entry, uint64, error) {
	defer s.lock()()
	s.note("list", prefix)
	if s.down {
		return nil, 0, store.ErrUnavailable
	}
	list := slices.DeleteFunc(s.store.list(), func(e store.Entry) bool { return !strings.HasPrefix(e.Key(), prefix) })
	return list, store.Position(s.store.era, s.store.revision), nil
}

func (s *script) grant(context.Context, time.Duration) (string, error) {
	defer s.lock()()
	if s.down {
		s.note("grant fails")
		return "", store.ErrUnavailable
	}
	s.store.granted++
	lease := s.store.name(s.store.granted)
	s.store.leases[lease] = true
	s.note("grant", lease)
	return lease, nil
}

// put is the PutConfirmed of the client.
func (s *script) put(_ context.Context, key string, value []byte, expect uint64, lease string, _ func(store.Entry) bool) (uint64, error) {
	defer s.lock()()
	switch now := s.store.entries[key].Revision(); {
	case s.down:
		s.note("put fails", key)
		return 0, store.ErrUnavailable
	case now != expect:
		s.note("put conflicts", key)
		return 0, store.ErrConflict
	}
	s.store.revision++
	e := store.NewEntry(key, value, store.Position(s.store.era, s.store.revision), lease)
	s.store.entries[key] = e
	s.note("put", key, "under", lease)
	return e.Revision(), nil
}

// renew is the Renew of the client, which rejects leases of earlier eras.
func (s *script) renew(_ context.Context, lease string) error {
	defer s.lock()()
	s.note("renew", lease)
	switch {
	case s.down:
		return store.ErrUnavailable
	case !s.store.leases[lease]:
		return store.ErrExpired
	}
	return nil
}

// name returns a lease's name in the present era.
func (c *contents) name(id int) string {
	if c.era == 0 {
		return strconv.Itoa(id)
	}
	return fmt.Sprintf("%d@%d", id, c.era)
}

func (c *contents) list() []store.Entry {
	var list []store.Entry
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		list = append(list, c.entries[key])
	}
	return list
}

func (c *contents) clone() contents {
	copied := *c
	copied.leases, copied.entries = maps.Clone(c.leases), maps.Clone(c.entries)
	return copied
}

// moveTo renames the positions and leases of a copy to those of an era.
func (c *contents) moveTo(era uint64) {
	leases := make(map[string]bool)
	rename := func(lease string) string {
		id, _, _ := strings.Cut(lease, "@")
		return fmt.Sprintf("%s@%d", id, era)
	}
	for lease := range c.leases {
		leases[rename(lease)] = true
	}
	c.leases = leases
	for key, e := range c.entries {
		c.entries[key] = store.NewEntry(key, e.Value(), store.Position(era, store.Number(e.Revision())), rename(e.Lease()))
	}
}

// expire ends a lease and deletes its keys.
func (c *contents) expire(lease string) {
	delete(c.leases, lease)
	c.revision++
	maps.DeleteFunc(c.entries, func(_ string, e store.Entry) bool { return e.Lease() == lease })
}
