package store_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
)

// TestListRefusesRevisionOutOfRange guards against a list whose revision reaches into the
// bits of the era, so that it passes for one of a later history.
func TestListRefusesRevisionOutOfRange(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Era", "1")
		_, _ = fmt.Fprintf(w, `{"entries":[],"revision":%d}`, uint64(1)<<41)
	}))
	defer s.Close()
	_, revision, err := store.New(s.URL, 1).WithDeadline(300*time.Millisecond).List(t.Context(), "")
	if err == nil {
		t.Errorf("a list of era 1 has the revision %s", store.Text(revision))
	}
}

// TestRevokeInAnotherEra guards against the end of another holder's lease: the store was
// restored, which the caller has not heard, and has given the id out again.
func TestRevokeInAnotherEra(t *testing.T) {
	era, ended := "1", false
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Era", era)
		switch r.Method {
		case http.MethodDelete:
			ended = true
		default:
			_, _ = fmt.Fprint(w, `{"id":"7","lease":"7"}`)
		}
	}))
	defer s.Close()
	c := store.New(s.URL, 1)
	lease, err := c.Grant(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	era = "2"
	if err := c.Revoke(t.Context(), lease); err == nil || !errors.IsAny(err, store.ErrExpired, store.ErrUnknown) {
		t.Errorf("the lease %s of era 1 was ended in era 2 (%v), error: %v", lease, ended, err)
	}
}

// TestSkippedEra guards against one answer with a spoiled era, after which the client would
// refuse all others, and against a client that never follows a store that was restored twice.
func TestSkippedEra(t *testing.T) {
	for name, c := range map[string]struct {
		eras []string
		want uint64
	}{
		"spoiled": {
			eras: []string{"1", "100", "1"},
			want: 1,
		},
		"restored twice": {
			eras: []string{"1", "3", "3"},
			want: 3,
		},
		"restored meanwhile": {
			eras: []string{"1", "3", "4"},
			want: 4,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Era", c.eras[0])
				if len(c.eras) > 1 {
					c.eras = c.eras[1:]
				}
				_, _ = fmt.Fprint(w, `{"key":"k","revision":5}`)
			}))
			defer s.Close()
			client := store.New(s.URL, 1)
			for range 2 {
				if _, err := client.Get(t.Context(), "k"); err != nil {
					t.Fatal(err)
				}
			}
			if got := client.Era(); got != c.want {
				t.Errorf("era %d, want %d", got, c.want)
			}
		})
	}
}
