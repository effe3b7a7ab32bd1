package call

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/abort"
	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/claim"
	"clementinelink.example/clementinelink/internal/plain"
	"clementinelink.example/clementinelink/internal/world"
	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cluster is two VMs, a and b, that share an upstream and a store in memory. Calls
// use real connections.
type cluster struct {
	mu          sync.Mutex
	storeMode   string
	slots       map[int][]byte
	revision    map[int]uint64
	callServers map[string]*Server
	servers     map[string]*httptest.Server
	upstream    *httptest.Server
	runs        atomic.Int64
	stop        context.CancelFunc
	wait        sync.WaitGroup
	clients     []*plain.Client
}

func newCluster() *cluster {
	s := &cluster{
		slots:       map[int][]byte{},
		revision:    map[int]uint64{},
		callServers: map[string]*Server{},
		servers:     map[string]*httptest.Server{},
	}
	s.upstream = httptest.NewServer(http.HandlerFunc(s.serve))
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	live := []*world.VM{world.NewVM("up", world.Plain, s.upstream.Listener.Addr().String(), "d", "r").WithService("bookings")}
	for i, name := range []string{"a", "b"} {
		claims := claim.New(name, uint64(i+1), 2, 100).WithOwner(func(slot int) string { return []string{"a", "b"}[slot] })
		calls := New(func(string) []*world.VM { return live }, budget.NewRetry(budget.DefaultRatio, budget.DefaultFloor, budget.DefaultBurst))
		client := plain.New()
		s.clients = append(s.clients, client)
		server := NewServer(claims, calls, client).WithStore(s.read, s.write).WithPeers(s.askPeer)
		s.callServers[name] = server
		s.wait.Go(func() { server.Run(ctx) })
		s.servers[name] = httptest.NewServer(s.handler(server))
	}
	return s
}

func (s *cluster) close() {
	for _, f := range s.servers {
		f.Close()
	}
	s.stop()
	s.wait.Wait()
	for _, c := range s.clients {
		c.Close()
	}
	s.upstream.Close()
}

func (s *cluster) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/refuse") {
		w.Header().Set("X-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n := s.runs.Add(1)
	if strings.HasSuffix(r.URL.Path, "/break") {
		panic(http.ErrAbortHandler)
	}
	if strings.HasSuffix(r.URL.Path, "/slow") {
		time.Sleep(200 * time.Millisecond)
	}
	size := 0
	if strings.HasSuffix(r.URL.Path, "/large") {
		size = claim.MaxAnswerBytes
	}
	w.Header().Set("Location", "/orders/1")
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "run %d%s", n, strings.Repeat(".", size))
}

func (s *cluster) handler(server *Server) http.Handler {
	service := world.NewPlainService("bookings", world.NewContract(time.Second))
	book := world.NewRoute("book", "POST", "/book", false, time.Second)
	look := world.NewRoute("look", "GET", "/look", true, time.Second)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rt := book
		if r.Method == http.MethodGet {
			rt = look
		}
		server.Serve(r.Context(), w, r, service, rt, world.NewWorkspace(r.Header.Get("Authorization"), "", 1, world.Batch))
	})
}

func (s *cluster) read(slot int, done func(claim.Result, uint64, []byte)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeMode == "down" {
		return false
	}
	go done(claim.OK, s.revision[slot], s.slots[slot])
	return true
}

func (s *cluster) write(slot int, revision uint64, value []byte, done func(claim.Result, uint64)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.storeMode == "down":
		return false
	case s.revision[slot] != revision:
		go done(claim.Conflict, 0)
		return true
	}
	s.revision[slot]++
	s.slots[slot] = value
	if s.storeMode == "lossy" {
		s.storeMode = ""
		go done(claim.Indeterminate, 0)
		return true
	}
	go done(claim.OK, revision+1)
	return true
}

// askPeer sends an operation to a peer in its encoded form.
func (s *cluster) askPeer(peer string, op claim.Operation, done func(claim.Verdict, *claim.Record)) bool {
	m, err := EncodeOperation(op)
	if err != nil {
		return false
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		decoded, err := DecodeOperation(m)
		if err != nil {
			done(claim.Failed, nil)
			return
		}
		reply, err := EncodeReply(s.callServers[peer].Claim(ctx, decoded))
		if err != nil {
			done(claim.Failed, nil)
			return
		}
		back := DecodeReply(reply)
		done(back.Verdict(), back.Record())
	}()
	return true
}

// TestServe guards against a wrong HTTP response to a caller: status, problem
// details, Retry-After or replay, on either VM.
func TestServe(t *testing.T) {
	datadriven.RunTest(t, "testdata/serve", func(t *testing.T, d *datadriven.TestData) string {
		s := newCluster()
		defer s.close()
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			switch f[0] {
			case "store":
				s.mu.Lock()
				s.storeMode = f[1]
				s.mu.Unlock()
			case "wait":
				time.Sleep(700 * time.Millisecond)
			case "runs":
				fmt.Fprintf(&out, "runs %d\n", s.runs.Load())
			case "leave":
				s.callAndLeave(t, f[1], f[2:])
			case "both":
				var wg sync.WaitGroup
				for _, vm := range []string{"a", "b", "a", "b"} {
					wg.Go(func() { s.do(t, vm, f[1:]) })
				}
				wg.Wait()
			default:
				fmt.Fprintf(&out, "%s\n", s.do(t, f[0], f[1:]))
			}
		}
		return out.String()
	})
}

// callAndLeave sends a request and closes the connection after 50 ms.
func (s *cluster) callAndLeave(t *testing.T, vm string, f []string) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, f[0], s.servers[vm].URL+f[1], strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "w")
	req.Header.Set("Idempotency-Key", f[2])
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
		t.Errorf("%v was answered before its caller left", f)
	}
}

// TestRingFull guards against calls that wait without limit: a full ring must
// refuse the call with the outcome not-run.
func TestRingFull(t *testing.T) {
	s := newCluster()
	defer s.close()
	server := NewServer(claim.New("c", 3, 1, 1), New(nil, nil), plain.New())
	defer server.endRun()
	for server.arrivals.Put(context.Background(), &request{}) {
		continue
	}
	w := httptest.NewRecorder()
	s.handler(server).ServeHTTP(w, httptest.NewRequest("POST", "/book/ok", nil))
	if w.Code != http.StatusTooManyRequests || !strings.Contains(w.Body.String(), `"outcome":"not-run"`) || w.Header().Get("Retry-After") == "" {
		t.Errorf("got %d %s", w.Code, w.Body)
	}
}

// do sends METHOD PATH [key [body]] to a VM and describes the response.
func (s *cluster) do(t *testing.T, vm string, f []string) string {
	body := "x"
	if len(f) > 3 {
		body = f[3]
	}
	req, err := http.NewRequest(f[0], s.servers[vm].URL+f[1], strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "w")
	if len(f) > 2 {
		req.Header.Set("Idempotency-Key", f[2])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer resp.Body.Close()
	defer http.DefaultClient.CloseIdleConnections()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	out := fmt.Sprint(resp.StatusCode)
	for _, k := range []string{"Location", "Retry-After", "Idempotency-Replayed"} {
		if v := resp.Header.Get(k); v != "" {
			out += fmt.Sprintf(" %s=%s", k, v)
		}
	}
	if resp.Header.Get("Content-Type") != "application/problem+json" {
		return out + " " + string(text[:min(len(text), 12)])
	}
	var p map[string]any
	if err := json.Unmarshal(text, &p); err != nil {
		t.Error(err)
	}
	return fmt.Sprintf("%s %v %v %v", out, p["type"], p["status"], p["outcome"])
}

// TestIncompleteResponse guards against a caller that gets a part of a response as the
// whole, and against one that gets none at all, since no response can have the status
// that the upstream sent.
func TestIncompleteResponse(t *testing.T) {
	for _, c := range []struct {
		name     string
		response string
		outcome  string
	}{
		{
			name:     "reset while the upload is written, without length",
			response: "HTTP/1.1 200 OK\r\n\r\npart",
			outcome:  "ran",
		},
		{
			name:     "status 000",
			response: "HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nodd.",
			outcome:  "unknown",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newCluster()
			defer s.close()
			for _, client := range s.clients {
				client.WithDial(abort.Dial(c.response))
			}
			for _, call := range []string{"POST /book/1 k", "GET /look/1"} {
				got := s.do(t, "a", strings.Fields(call))
				if !strings.HasPrefix(got, "502 ") || !strings.HasSuffix(got, "/upstream 502 "+c.outcome) {
					t.Errorf("%s: %q, want 502 and the outcome %s", call, got, c.outcome)
				}
			}
		})
	}
}
