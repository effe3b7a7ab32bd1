package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"clementinelink.example/clementinelink/internal/burn"
	"clementinelink.example/clementinelink/internal/cursor"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/world"
)

// millKeyDigest is the SHA-256 digest of the token "mill".
const millKeyDigest = "901fac08e3b464b12fab1d04624a51901b851f15f30119bc3458428505030545"

// harness runs a server with a scripted dispatcher.
type harness struct {
	codec        *cursor.Codec
	server       *httptest.Server
	script       []string
	accepted     atomic.Pointer[string]
	disconnected chan string
	samples      chan *burn.Sample
	ids          []string
	requests     int
	cancels      []context.CancelFunc
}

func newHarness(t testing.TB) *harness {
	codec, err := cursor.Parse("000102030405060708090a0b0c0d0e0f")
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{
		codec:        codec,
		disconnected: make(chan string, 16),
		samples:      make(chan *burn.Sample, 1),
	}
	contract := world.NewContract(time.Minute)
	m := world.NewConfig(1, nil, nil, []*world.Service{
		world.NewModelService("pattern", "v1", contract),
		world.NewPlainService("desk", contract, world.NewRoute("book", "POST", "/desk/runs", false, time.Second),
			world.NewRoute("look", "GET", "/desk/looms", true, time.Second)),
	}, []*world.Workspace{world.NewWorkspace("mill", millKeyDigest, 1, world.Interactive)})
	s := New(codec, func() *world.Config { return m }, h.generate, func(id string) { h.disconnected <- id }).
		WithClock(func() time.Time { return time.Unix(1000, 0) }).
		WithLimits(NewLimits().WithBody(160).WithTimeouts(300*time.Millisecond, 300*time.Millisecond, 20*time.Millisecond)).
		WithObserve(func(s *burn.Sample) {
			select {
			case h.samples <- s:
			default:
			}
		}).
		WithID(func() string {
			h.requests++
			return "r" + strconv.Itoa(h.requests)
		}).
		WithCall(func(ctx context.Context, w http.ResponseWriter, r *http.Request, s *world.Service, rt *world.Route, ws *world.Workspace) {
			if r.Method == "GET" {
				// Longer than the time limit for reading a body.
				time.Sleep(400 * time.Millisecond)
			}
			body, _ := io.ReadAll(r.Body)
			_, timed := ctx.Deadline()
			fmt.Fprintf(w, "%s.%s for %s timed=%t err=%v id=%s body=%s", s.Name(), rt.Name(), ws.Name(), timed, ctx.Err(), r.Header.Get("X-Request-Id"), body)
		})
	h.server = httptest.NewUnstartedServer(nil)
	h.server.Config = s.HTTP()
	h.server.Start()
	t.Cleanup(h.server.Close)
	return h
}

// generate records the request and puts the outputs of the script into the
// ring.
func (h *harness) generate(ctx context.Context, rq *relay.Request, out *ring.Ring[relay.Output]) *errs.Problem {
	n := 0
	if at := rq.Resume(); at != nil {
		n = at.Offset()
	}
	summary := fmt.Sprintf("%s %s %s %s from=%d limit=%d seed=%d temp=%g stop=%q left=%s prefix=%x trace=%s: ", rq.ID(), rq.Service(), rq.Workspace(),
		rq.Class(), n, rq.Limit(), rq.Seed(), rq.Sampling().Temperature(), rq.Sampling().Stop(), rq.Deadline().Sub(time.Unix(1000, 0)), rq.Prefix(), rq.Trace())
	h.accepted.Store(&summary)
	return h.play(ctx, h.script, n, out)
}

// play puts the outputs of a script into the ring, starting after n tokens.
func (h *harness) play(ctx context.Context, script []string, n int, out *ring.Ring[relay.Output]) *errs.Problem {
	for i, l := range script {
		op, arg, _ := strings.Cut(l, " ")
		switch at := relay.NewResume("v1", "eng", "a:1", 1, n+1, uint64(n)); op {
		case "refuse":
			return errs.New(errs.Overload, errs.NotRun, "%s", arg).WithRetry(1500 * time.Millisecond)
		case "chunk":
			v, err := strconv.Unquote(arg)
			if err != nil {
				panic(err)
			}
			out.Put(ctx, relay.NewChunk(v, at))
			n++
		case "flood":
			for range outputCap + 10 {
				n++
				out.Put(ctx, relay.NewChunk("x", relay.NewResume("v1", "eng", "a:1", 1, n, 0)))
			}
		case "pause":
			// Longer than the time limits for reading a body and for one write.
			time.AfterFunc(400*time.Millisecond, func() { h.play(ctx, script[i+1:], n, out) })
			return nil
		case "skip":
			n++
		case "done":
			out.Put(ctx, relay.NewDone(arg, 5, relay.NewResume("v1", "eng", "a:1", 1, n, 0)))
		case "fail":
			out.Put(ctx, relay.NewFailed(errs.New(errs.Lost, errs.Ran, "%s", arg), nil))
		}
	}
	return nil
}

// cursorOffset returns the offset of an encoded cursor for the script's output.
func (h *harness) cursorOffset(id string) string {
	c, err := h.codec.Decode(id)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("@%d", c.Resume().Offset())
}

var cursorField = regexp.MustCompile(`"cursor":"([^"]*)"`)

var scriptLine = regexp.MustCompile(`(?m)^(refuse|chunk|flood|skip|pause|done|fail|silence)\b.*\n?`)

// post sends a request and returns what the dispatcher and the caller receive.
// Script lines in the input replace the script; the rest is the body.
func (h *harness) post(t *testing.T, d *datadriven.TestData) string {
	if lines := scriptLine.FindAllString(d.Input, -1); lines != nil {
		h.script = strings.Split(strings.TrimSpace(strings.Join(lines, "")), "\n")
	}
	d.Input = scriptLine.ReplaceAllString(d.Input, "")
	if d.Input == "" && !d.HasArg("method") {
		d.Input = `{"model":"pattern","prompt":"hi","stream":true}`
	}
	ctx, cancel := context.WithCancel(context.Background())
	path, method, token, last, maxEvents := "/v1/completions", "POST", "mill", "", 0
	for key, v := range map[string]any{"path": &path, "method": &method, "token": &token, "last": &last, "stop": &maxEvents} {
		d.MaybeScanArgs(t, key, v)
	}
	r, err := http.NewRequestWithContext(ctx, method, h.server.URL+path, strings.NewReader(d.Input))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+token)
	if n, err := strconv.Atoi(last); err == nil {
		last = h.ids[n-1]
	}
	r.Header.Set("Last-Event-ID", last)
	for _, name := range []string{"X-Priority", "X-Deadline-Ms", "Traceparent"} {
		if v := ""; d.MaybeScanArgs(t, name, &v) {
			r.Header.Set(name, v)
		}
	}
	for len(h.samples) > 0 {
		<-h.samples
	}
	empty := ""
	h.accepted.Store(&empty)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	if maxEvents == 0 {
		defer cancel()
	}
	h.cancels = append(h.cancels, cancel)
	out := *h.accepted.Load() + fmt.Sprintf("%d %s id=%s", resp.StatusCode, resp.Header.Get("Content-Type"), resp.Header.Get("X-Request-Id"))
	for _, name := range []string{"Retry-After", "X-Should-Retry", "Www-Authenticate"} {
		if v := resp.Header.Get(name); v != "" {
			out += fmt.Sprintf(" %s=%s", name, v)
		}
	}
	out += "\n" + strings.TrimSpace(h.read(resp.Body, maxEvents))
	if d.HasArg("sample") {
		s := <-h.samples
		out += "\nsample"
		for v := burn.Complete; v <= burn.Refused; v++ {
			good, bad := s.Outcomes(v)
			out += fmt.Sprintf(" %s %d/%d", v, good, bad)
		}
	}
	if d.HasArg("close") {
		for _, f := range h.cancels {
			f()
		}
		select {
		case id := <-h.disconnected:
			out += "\ndisconnected " + id
		case <-time.After(200 * time.Millisecond):
			out += "\nno disconnect"
		}
	}
	return out
}

// repeatedFields matches the fields that are printed for the first event only.
var repeatedFields = regexp.MustCompile(`"object":.*"v1",|"index":0,|"logprobs":null,`)

// read returns the body with one event per line. It stops after maxEvents
// events if maxEvents is not 0.
func (h *harness) read(body io.Reader, maxEvents int) string {
	var out, event string
	events := 0
	for sc := bufio.NewScanner(body); sc.Scan(); {
		l := sc.Text()
		if id, ok := strings.CutPrefix(l, "id: "); ok {
			if events == 0 {
				h.ids = nil
			}
			h.ids = append(h.ids, id)
			events++
			l = h.cursorOffset(id)
		}
		if l != "" {
			event += l + " "
			continue
		}
		if events > 1 || h.requests > 1 {
			event = repeatedFields.ReplaceAllString(event, "")
		}
		if out, event = out+strings.TrimSpace(event)+"\n", ""; events == maxEvents {
			break
		}
	}
	return cursorField.ReplaceAllStringFunc(out+event, func(f string) string {
		return h.cursorOffset(cursorField.FindStringSubmatch(f)[1])
	})
}

// TestScripts guards against missing or repeated tokens, refusals with a wrong
// outcome, cursors that resume another request, and input errors that don't
// name the field.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := newHarness(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "post":
				return h.post(t, d)
			case "invalid":
				var out strings.Builder
				for _, l := range strings.Split(d.Input, "\n") {
					d.Input = l
					got := h.post(t, d)
					out.WriteString(regexp.MustCompile(`"detail":"((\\"|[^"])*)"`).FindString(got) + "\n")
				}
				return out.String()
			}
			return ""
		})
	})
}

// TestClient guards against responses that the published OpenAI client can't
// read, and against responses that make it retry work that has run.
func TestClient(t *testing.T) {
	h := newHarness(t)
	h.script = []string{`chunk "Hel"`, `chunk "lo"`, "done stop"}
	client := openai.NewClient(option.WithBaseURL(h.server.URL+"/v1"), option.WithAPIKey("mill"))
	params := openai.ChatCompletionNewParams{
		Model:         "pattern",
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hi")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	completion, err := client.Chat.Completions.New(t.Context(), params)
	if err != nil || completion.Choices[0].Message.Content != "Hello" || completion.Usage.TotalTokens != 7 {
		t.Fatalf("whole: %v, %+v", err, completion)
	}
	stream, acc := client.Chat.Completions.NewStreaming(t.Context(), params), openai.ChatCompletionAccumulator{}
	for stream.Next() {
		if !acc.AddChunk(stream.Current()) {
			t.Fatal("chunk was not accepted")
		}
	}
	if err := stream.Err(); err != nil || acc.Choices[0].Message.Content != "Hello" ||
		acc.Choices[0].FinishReason != "stop" || acc.Usage.CompletionTokens != 2 {
		t.Fatalf("stream: %v, %+v", err, acc)
	}
	h.script = []string{`chunk "Hel"`, "fail engine is lost"}
	for stream = client.Chat.Completions.NewStreaming(t.Context(), params); stream.Next(); {
	}
	if err := stream.Err(); err == nil || !strings.Contains(err.Error(), "engine is lost") {
		t.Fatalf("failed stream: got %v", err)
	}
	before := h.requests
	if _, err := client.Chat.Completions.New(t.Context(), params); err == nil || h.requests != before+1 {
		t.Fatalf("lost generation: got %v after %d requests, want an error after 1", err, h.requests-before)
	}
	if list, err := client.Models.List(t.Context()); err != nil || len(list.Data) != 1 || list.Data[0].ID != "pattern" {
		t.Fatalf("models: %v, %+v", err, list)
	}
}

// BenchmarkStream measures the time of one streamed token: cursor, JSON, write
// and flush over a loopback connection.
func BenchmarkStream(b *testing.B) {
	h := newHarness(b)
	h.script = make([]string, 1000)
	for i := range h.script {
		h.script[i] = `chunk " token"`
	}
	h.script = append(h.script, "done length")
	b.ReportAllocs()
	tokens := 0
	for b.Loop() {
		r, _ := http.NewRequest("POST", h.server.URL+"/v1/completions", strings.NewReader(`{"model":"pattern","prompt":"p","stream":true}`))
		r.Header.Set("Authorization", "Bearer mill")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		tokens += 1000
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tokens), "ns/token")
}
