package store_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
)

// TestLeaseOfEarlierEra guards against the renewal or the end of a lease of another
// client, to which a restored store has given the id of this client's lease.
func TestLeaseOfEarlierEra(t *testing.T) {
	var era, calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Era", fmt.Sprint(era.Load()))
		if strings.Contains(r.URL.Path, "/leases/") {
			calls.Add(1)
		}
		fmt.Fprint(w, `{"id":"7","entries":[],"revision":5}`)
	}))
	defer server.Close()
	c := store.New(server.URL, 1)
	lease, err := c.Grant(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Renew(t.Context(), lease); err != nil || calls.Load() != 1 {
		t.Errorf("renewal before the restoration: %v after %d calls, want none after 1", err, calls.Load())
	}
	era.Store(1)
	if err := c.Renew(t.Context(), lease); !errors.Is(err, store.ErrExpired) {
		t.Errorf("renewal that tells of the restoration: %v, want %v", err, store.ErrExpired)
	}
	for _, call := range []func() error{
		func() error { return c.Renew(t.Context(), lease) },
		func() error { return c.Revoke(t.Context(), lease) },
	} {
		if err := call(); !errors.Is(err, store.ErrExpired) || calls.Load() != 2 {
			t.Errorf("call after the restoration: %v after %d calls, want %v after 2", err, calls.Load(), store.ErrExpired)
		}
	}
	again, err := c.Grant(t.Context(), time.Minute)
	if err != nil || again == lease {
		t.Errorf("new lease %q, %v; want another than %q", again, err, lease)
	}
	if err := c.Renew(t.Context(), again); err != nil {
		t.Errorf("renewal of the new lease: %v", err)
	}
}
