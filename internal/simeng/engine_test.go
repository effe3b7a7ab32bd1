package simeng_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"clementinelink.example/clementinelink/internal/memnet"
	"clementinelink.example/clementinelink/internal/simeng"
	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
)

// readTimeout is how long a read or call waits; a stream without an event for
// that long shows as "silent".
const readTimeout = 250 * time.Millisecond

// volatile matches the values in answers that differ from run to run.
var volatile = regexp.MustCompile(`("seq":)[0-9]+(,"age_ms":)[0-9]+|("(?:incarnation|generated|wasted)":)[0-9.]+`)

// TestScripts guards against a simulated engine that deviates from the engine
// contract: wrong scheduling order, lost retained streams, faults without effect.
// The clock advances only while all goroutines wait, so that a busy machine can't
// let streams end between two lines of a script.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) { runScript(t, path) })
	})
}

func runScript(t *testing.T, path string) {
	network := memnet.New()
	h := &harness{
		network: network,
		streams: map[string]*stream{},
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:       network.Dial,
				DisableKeepAlives: true,
			},
		},
	}
	defer func() { h.engine.Close() }()
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "engine" {
			return h.start(t, d)
		}
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			out.WriteString(strings.TrimSpace(h.runLine(t, line)) + "\n")
		}
		return out.String()
	})
}

// TestChain guards against ids that don't depend on the whole prefix: tokens
// after a foreign one would then pass verification again.
func TestChain(t *testing.T) {
	whole := simeng.NewChain("p", "v1", 7, nil)
	ids := []uint32{}
	for range 8 {
		ids = append(ids, whole.Next())
	}
	if got := simeng.NewChain("p", "v1", 7, ids[:7]).Next(); got != ids[7] {
		t.Errorf("continued id %x, want %x", got, ids[7])
	}
	ids[2]++
	if got := simeng.NewChain("p", "v1", 7, ids[:7]).Next(); got == ids[7] {
		t.Errorf("id %x doesn't depend on the prefix", got)
	}
}

// TestKill guards against a kill that ends connections of the machine regularly,
// and against a restart on another address. The scripts run on pipes.
func TestKill(t *testing.T) {
	h := &harness{
		engine: simeng.New("e1", simeng.WithGap(time.Millisecond, 0)),
		client: &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		},
	}
	if err := h.engine.Start(); err != nil {
		t.Fatal(err)
	}
	defer h.engine.Close()
	address := h.engine.Address()
	h.engine.HoldAfter(1)
	resp, err := h.send(t.Context(), "POST", "/v1/completions", openBody("a", `"max_tokens":9`))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	if !lines.Scan() {
		t.Fatal(lines.Err())
	}
	h.engine.Kill()
	for lines.Scan() {
	}
	if !errors.Is(lines.Err(), syscall.ECONNRESET) {
		t.Errorf("stream of a killed engine: %v", lines.Err())
	}
	if err := h.engine.Restart(); err != nil || h.engine.Address() != address {
		t.Errorf("restart on %s, want %s: %v", h.engine.Address(), address, err)
	}
}

// harness is the engine of a script, its client and the open streams by name.
type harness struct {
	network *memnet.Network
	engine  *simeng.Engine
	client  *http.Client
	streams map[string]*stream
}

func (h *harness) start(t *testing.T, d *datadriven.TestData) string {
	if h.engine != nil {
		h.engine.Close()
	}
	slots, queue, gap, retain, prefill := 4, 2, 2, 5000, 0
	d.MaybeScanArgs(t, "slots", &slots)
	d.MaybeScanArgs(t, "queue", &queue)
	d.MaybeScanArgs(t, "gap", &gap)
	d.MaybeScanArgs(t, "retain", &retain)
	d.MaybeScanArgs(t, "prefill", &prefill)
	h.engine = simeng.New("e1",
		simeng.WithListen(h.network.Listen),
		simeng.WithSlots(slots, queue),
		simeng.WithGap(time.Duration(gap)*time.Millisecond, 0.5),
		simeng.WithPrefill(time.Duration(prefill)*time.Millisecond),
		simeng.WithCache(3, 20*time.Millisecond, 3),
		simeng.WithLoadLag(10*time.Millisecond),
		simeng.WithRetain(time.Duration(retain)*time.Millisecond),
		simeng.WithFencing(!d.HasArg("unfenced")),
		simeng.WithWeights(func(_ context.Context, _, version string) error {
			if version == "limited" {
				return fmt.Errorf("429")
			}
			return nil
		}, 20*time.Millisecond))
	if err := h.engine.Start(); err != nil {
		d.Fatalf(t, "start: %v", err)
	}
	return ""
}

// runLine runs one line of a script: a command, the name of a stream or a path,
// and arguments.
func (h *harness) runLine(t *testing.T, line string) string {
	verb, rest, _ := strings.Cut(line, " ")
	name, rest, _ := strings.Cut(rest, " ")
	switch verb {
	case "open":
		return h.stream(name, "POST", "/v1/completions", openBody(name, rest))
	case "attach":
		return h.stream(name, "GET", "/v1/streams/"+name+"/1?offset="+rest, "")
	case "read":
		limit := -1
		_, _ = fmt.Sscan(rest, &limit)
		return strings.Join(h.streams[name].read(limit), " ")
	case "last":
		items := h.streams[name].read(-1)
		return items[len(items)-1]
	case "drop":
		h.streams[name].cancel()
	case "sleep":
		d, err := time.ParseDuration(name)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(d)
	case "prompt":
		text, err := simeng.Prompt(json.RawMessage(rest))
		return fmt.Sprintf("%q %v", text, err)
	case "GET", "POST", "DELETE":
		return h.call(verb, name, rest)
	default:
		t.Fatalf("unknown command %s", verb)
	}
	return "ok"
}

// openBody returns the body of a request for attempt 1 with fields added.
func openBody(name, fields string) string {
	body := `{"request":"` + name + `","attempt":1,"version":"v1","prompt":"p","seed":7`
	if fields != "" {
		body += "," + fields
	}
	return body + "}"
}

func (h *harness) send(ctx context.Context, method, path, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.engine.Address()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	return h.client.Do(r)
}

func (h *harness) call(method, path, body string) string {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	resp, err := h.send(ctx, method, path, body)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "broken answer"
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, volatile.ReplaceAllString(string(text), `$1$2${3}_`))
}

func (h *harness) stream(name, method, path, body string) string {
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := h.send(ctx, method, path, body)
	if err != nil {
		cancel()
		return "no answer"
	}
	s := &stream{
		cancel: cancel,
		lines:  make(chan string, 1024),
		want:   simeng.Expected("p", "v1", 7, 1000),
	}
	h.streams[name] = s
	go s.scan(resp.Body)
	return fmt.Sprint(resp.StatusCode)
}

// stream is an open SSE answer.
type stream struct {
	cancel context.CancelFunc
	// lines gets the data lines and, last, "reset" or "end".
	lines chan string
	want  []string
}

// scan reads an SSE body into lines.
func (s *stream) scan(body io.ReadCloser) {
	defer body.Close()
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			s.lines <- data
		}
	}
	if lines.Err() != nil {
		s.lines <- "reset"
		return
	}
	s.lines <- "end"
}

// read returns the index of each token until limit tokens, the end of the stream
// or readTimeout without an event. A "?" marks a token whose text isn't that of
// the answer to prompt p.
func (s *stream) read(limit int) []string {
	items := []string{}
	for ; limit != 0; limit-- {
		select {
		case line := <-s.lines:
			items = append(items, s.format(line))
			if line == "reset" || line == "end" {
				return items
			}
		case <-time.After(readTimeout):
			return append(items, "silent")
		}
	}
	return items
}

func (s *stream) format(line string) string {
	var e struct {
		Request string
		Index   int
		Text    string
		Finish  string
	}
	if json.Unmarshal([]byte(line), &e) != nil {
		return line
	}
	switch {
	case e.Finish != "":
		return fmt.Sprintf("%s@%d", e.Finish, e.Index)
	case len(e.Request) > 1:
		return fmt.Sprintf("%d(%s)", e.Index, e.Request)
	case e.Text != s.want[e.Index]:
		return fmt.Sprintf("%d?", e.Index)
	}
	return fmt.Sprint(e.Index)
}

// TestMain guards against goroutines that outlive Close: they would add up, as
// the lab starts hundreds of engines in one process.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
