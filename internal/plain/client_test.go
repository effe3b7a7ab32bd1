package plain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// upstream is a server that answers its requests with scripted steps and records
// the requests that it read.
type upstream struct {
	listener net.Listener
	// steps are the answers in the order of the requests, with "|" for a line
	// end. "close" closes the connection without an answer, "hang" waits until the
	// test ends, the prefix "late " delays the answer, the prefix "repeat " writes
	// the connection's first answer, if any, before it, and the suffix "cut" closes
	// the connection after it.
	steps []string
	done  chan struct{}
	wait  sync.WaitGroup
	mu    sync.Mutex
	seen  []*http.Request
}

func newUpstream(t *testing.T, steps ...string) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{
		listener: l,
		steps:    steps,
		done:     make(chan struct{}),
	}
	u.wait.Go(u.accept)
	return u
}

func (u *upstream) stop() {
	u.listener.Close()
	close(u.done)
	u.wait.Wait()
}

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.wait.Go(func() { u.serve(c) })
	}
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	stop := make(chan struct{})
	defer close(stop)
	u.wait.Go(func() {
		select {
		case <-u.done:
			c.Close()
		case <-stop:
		}
	})
	r := bufio.NewReader(c)
	first := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		step := u.next(req)
		switch {
		case step == "close":
			return
		case step == "hang":
			<-u.done
			return
		case strings.HasPrefix(step, "late "):
			time.Sleep(300 * time.Millisecond)
			step = strings.TrimPrefix(step, "late ")
		case strings.HasPrefix(step, "repeat "):
			step = first + strings.TrimPrefix(step, "repeat ")
		}
		if first == "" {
			first = step
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(step, "|", "\r\n")); err != nil || strings.HasSuffix(step, "cut") {
			return
		}
	}
}

func (u *upstream) next(req *http.Request) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seen = append(u.seen, req)
	return u.steps[min(len(u.seen), len(u.steps))-1]
}

func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.seen)
}

func (u *upstream) address() string { return u.listener.Addr().String() }

// TestOutcomes guards against a wrong outcome and a second send of a call, for
// each way in which an upstream can fail.
func TestOutcomes(t *testing.T) {
	datadriven.RunTest(t, "testdata/outcomes", func(t *testing.T, d *datadriven.TestData) string {
		u := newUpstream(t, strings.Split(d.Input, "\n")...)
		defer u.stop()
		c := New()
		defer c.Close()
		address := u.address()
		if d.HasArg("closed") {
			address = closedPort(t)
		}
		deadline := time.Now().Add(500 * time.Millisecond)
		if d.HasArg("paused") {
			// The VM is paused until the deadline while the connection is set up.
			now := time.Now()
			c.now = func() time.Time { return now }
			c.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				now = deadline
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
		}
		var out strings.Builder
		for i := range max(1, len(u.steps)) {
			l := NewCall(fmt.Sprintf("id%d", i), "POST", "/b?x=1", http.Header{
				"Idempotency-Key": {"k"},
				"Content-Type":    {"text/plain"},
			}, []byte("body"), deadline)
			send := c.Book
			if d.Cmd == "lookup" {
				send = c.Lookup
			}
			r := send(t.Context(), address, l)
			fmt.Fprintf(&out, "%s %s\n", r.Outcome(), describe(r))
			if d.HasArg("once") {
				break
			}
			if d.HasArg("gap") {
				time.Sleep(50 * time.Millisecond)
			}
			deadline = time.Now().Add(500 * time.Millisecond)
		}
		fmt.Fprintf(&out, "requests read: %d\n", u.count())
		return out.String()
	})
}

func describe(r Result) string {
	if p := r.Problem(); p != nil {
		return fmt.Sprintf("%s retry=%v", p.Kind().Slug(), p.Retry())
	}
	return fmt.Sprintf("%d %q", r.Answer().Status(), r.Answer().Body())
}

func closedPort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

const okStep = "HTTP/1.1 200 OK|Content-Length: 2||ok"

// TestNoRepeat guards against a booking that net/http sends again when the
// upstream closes a reused connection without an answer. The rewindable request
// shows that net/http does retry in this situation.
func TestNoRepeat(t *testing.T) {
	t.Run("rewindable", func(t *testing.T) {
		u := newUpstream(t, okStep, "close", okStep)
		defer u.stop()
		tr := &http.Transport{}
		defer tr.CloseIdleConnections()
		for range 2 {
			req, err := http.NewRequest("POST", "http://"+u.address()+"/b", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Idempotency-Key", "k")
			resp, err := tr.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
		}
		if n := u.count(); n != 3 {
			t.Fatalf("the upstream read %d requests of 2 calls, want 3: net/http no longer repeats here", n)
		}
	})
	t.Run("booking", func(t *testing.T) {
		u := newUpstream(t, okStep, "close", okStep)
		defer u.stop()
		c := New()
		defer c.Close()
		for i, want := range []errs.Outcome{errs.Ran, errs.Unknown} {
			l := NewCall(fmt.Sprint(i), "POST", "/b", http.Header{"Idempotency-Key": {"k"}}, []byte("body"), time.Now().Add(time.Second))
			if r := c.Book(t.Context(), u.address(), l); r.Outcome() != want {
				t.Errorf("call %d: outcome %s, want %s", i, r.Outcome(), want)
			}
		}
		if n := u.count(); n != 2 {
			t.Errorf("the upstream read %d requests of 2 bookings", n)
		}
		for _, req := range u.seen {
			if req.Header.Get("Idempotency-Key") != "" || !req.Close {
				t.Errorf("a booking must go without a key on a connection that closes, got %v", req.Header)
			}
		}
	})
}

// TestLateAnswer guards against the late answer to a call that timed out being
// given to the next call.
func TestLateAnswer(t *testing.T) {
	u := newUpstream(t, "late HTTP/1.1 200 OK|Content-Length: 5||first", "HTTP/1.1 200 OK|Content-Length: 6||second")
	defer u.stop()
	c := New()
	defer c.Close()
	l := NewCall("1", "GET", "/l", nil, nil, time.Now().Add(100*time.Millisecond))
	if r := c.Lookup(t.Context(), u.address(), l); r.Problem() == nil || r.Problem().Kind() != errs.Expired {
		t.Fatalf("the first lookup must expire, got %s", describe(r))
	}
	time.Sleep(250 * time.Millisecond)
	l = NewCall("2", "GET", "/l", nil, nil, time.Now().Add(time.Second))
	if r := c.Lookup(t.Context(), u.address(), l); r.Answer() == nil || string(r.Answer().Body()) != "second" {
		t.Fatalf("the second lookup got %s", describe(r))
	}
}

// TestPermitRevoked guards against a byte that is written after the call was
// reported as not run.
func TestPermitRevoked(t *testing.T) {
	p := &permit{
		now:      time.Now,
		deadline: time.Now().Add(time.Minute),
	}
	if !p.revoke() || p.acquire() == nil {
		t.Error("a revoked permit must not be acquired")
	}
	p = &permit{
		now:      time.Now,
		deadline: time.Now().Add(time.Minute),
	}
	if p.acquire() != nil || p.revoke() || p.acquire() == nil {
		t.Error("an acquired permit must not be revoked or acquired by another connection")
	}
}
