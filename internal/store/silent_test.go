package store

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// connectionKey is the context key of a connection's number.
type connectionKey struct{}

// silentServer is a store that answers on connections after the number silent only.
type silentServer struct {
	*httptest.Server
	accepted atomic.Int64
	silent   atomic.Int64
}

func startSilent(t *testing.T, serve http.HandlerFunc) *silentServer {
	s := &silentServer{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(connectionKey{}).(int64) <= s.silent.Load() {
			<-r.Context().Done()
			return
		}
		serve(w, r)
	}))
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, s.accepted.Add(1))
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// TestStalledBody guards against a call that waits for 8 s for an answer whose body
// has stopped, so that all later changes of the store reach the VM that much later.
func TestStalledBody(t *testing.T) {
	s := startSilent(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"key":"k",`))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	began := time.Now()
	_, _, err := New(s.URL, 1).Watch(t.Context(), "k", 1, time.Second)
	if took := time.Since(began); err == nil || took > 2500*time.Millisecond {
		t.Errorf("after %s: %v", took, err)
	}
}

// TestSlowBody guards against a call that gives up an answer that arrives slowly.
func TestSlowBody(t *testing.T) {
	s := startSilent(t, func(w http.ResponseWriter, _ *http.Request) {
		for _, part := range []string{`{"events":[]`, `,"revision"`, `:4`, `2`, `}`} {
			_, _ = w.Write([]byte(part))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(600 * time.Millisecond)
		}
	})
	if _, revision, err := New(s.URL, 1).Watch(t.Context(), "k", 1, time.Second); err != nil || revision != 42 {
		t.Errorf("revision %d: %v", revision, err)
	}
}

// TestSilentConnections guards against calls that fail one after another because
// each takes another idle connection that has gone silent with the first.
func TestSilentConnections(t *testing.T) {
	const idle = 4
	together := make(chan struct{})
	var waiting atomic.Int64
	s := startSilent(t, func(w http.ResponseWriter, _ *http.Request) {
		if waiting.Add(1) == idle {
			close(together)
		}
		<-together
		_, _ = w.Write([]byte(`{"events":[],"revision":7}`))
	})
	c := New(s.URL, 1).WithDeadline(300 * time.Millisecond)
	var calls sync.WaitGroup
	for range idle {
		calls.Go(func() {
			if _, _, err := c.Watch(t.Context(), "k", 1, 5*time.Second); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	s.silent.Store(s.accepted.Load())
	if _, _, err := c.Watch(t.Context(), "k", 1, 0); err == nil {
		t.Error("a silent connection answered")
	}
	if _, _, err := c.Watch(t.Context(), "k", 1, 0); err != nil {
		t.Errorf("second call: %v", err)
	}
}

// TestRefusalIsNoProgress guards against VMs that wait for one that the store refuses,
// since the text of the refusal passes for a part of an answer.
func TestRefusalIsNoProgress(t *testing.T) {
	s := startSilent(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
	})
	parts := 0
	ctx := WithProgress(t.Context(), func() { parts++ })
	if _, _, err := New(s.URL, 1).Watch(ctx, "k", 1, time.Second); err == nil || parts > 0 {
		t.Errorf("%d parts, %v", parts, err)
	}
}
