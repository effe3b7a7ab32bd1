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

// millKey is the SHA-256 digest of the token "mill".
const millKey = "901fac08e3b464b12fab1d04624a51901b851f15f30119bc3458428505030545"

// bench runs a server whose dispatcher follows a script.
type bench struct {
	codec  *cursor.Codec
	server *httptest.Server
	script []string
	lines  atomic.Pointer[string]
	left   chan string
	seen   chan *burn.Sample
	ids    []string
	count  int
	open   []context.CancelFunc
}

func newBench(t testing.TB) *bench {
	codec, err := cursor.Parse("000102030405060708090a0b0c0d0e0f")
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{
		codec: codec,
		left:  make(chan string, 16),
		seen:  make(chan *burn.Sample, 1),
	}
	contract := world.NewContract(time.Minute)
	m := world.NewMap(1, nil, nil, []*world.Service{
		world.NewModel("pattern", "v1", contract),
		world.NewPlain("desk", contract, world.NewRoute("book", "POST", "/desk/runs", false, time.Second),
			world.NewRoute("look", "GET", "/desk/looms", true, time.Second)),
	}, []*world.Workspace{world.NewWorkspace("mill", millKey, 1, world.Interactive)})
	s := New(codec, func() *world.Map { return m }, b.generate, func(id string) { b.left <- id }).
		WithClock(func() time.Time { return time.Unix(1000, 0) }).
		WithLimits(NewLimits().WithBody(160).WithTimes(300*time.Millisecond, 300*time.Millisecond, 20*time.Millisecond)).
		WithObserve(func(s *burn.Sample) {
			select {
			case b.seen <- s:
			default:
			}
		}).
		WithID(func() string {
			b.count++
			return "r" + strconv.Itoa(b.count)
		}).
		WithCall(func(ctx context.Context, w http.ResponseWriter, r *http.Request, s *world.Service, rt *world.Route, ws *world.Workspace) {
			if r.Method == "GET" {
				// Longer than the limit for reading a body.
				time.Sleep(400 * time.Millisecond)
			}
			body, _ := io.ReadAll(r.Body)
			_, timed := ctx.Deadline()
			fmt.Fprintf(w, "%s.%s for %s timed=%t err=%v id=%s body=%s", s.Name(), rt.Name(), ws.Name(), timed, ctx.Err(), r.Header.Get("X-Request-Id"), body)
		})
	b.server = httptest.NewUnstartedServer(nil)
	b.server.Config = s.HTTP()
	b.server.Start()
	t.Cleanup(b.server.Close)
	return b
}

// generate plays the script into the ring and notes the request.
func (b *bench) generate(ctx context.Context, rq *relay.Request, out *ring.Ring[relay.Output]) *errs.Problem {
	n := 0
	if at := rq.Resume(); at != nil {
		n = at.Offset()
	}
	note := fmt.Sprintf("%s %s %s %s from=%d limit=%d seed=%d temp=%g stop=%q left=%s prefix=%x trace=%s: ", rq.ID(), rq.Service(), rq.Workspace(),
		rq.Class(), n, rq.Limit(), rq.Seed(), rq.Sampling().Temperature(), rq.Sampling().Stop(), rq.Deadline().Sub(time.Unix(1000, 0)), rq.Prefix(), rq.Trace())
	b.lines.Store(&note)
	return b.play(ctx, b.script, n, out)
}

// play puts the outputs of a script after n tokens.
func (b *bench) play(ctx context.Context, script []string, n int, out *ring.Ring[relay.Output]) *errs.Problem {
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
			for range outputs + 10 {
				n++
				out.Put(ctx, relay.NewChunk("x", relay.NewResume("v1", "eng", "a:1", 1, n, 0)))
			}
		case "pause":
			// Longer than the limits for reading a body and for one write.
			time.AfterFunc(400*time.Millisecond, func() { b.play(ctx, script[i+1:], n, out) })
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

// offset replaces a cursor by its offset.
func (b *bench) offset(id string) string {
	c, err := b.codec.Decode(id)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("@%d", c.Resume().Offset())
}

var cursorField = regexp.MustCompile(`"cursor":"([^"]*)"`)

var scriptLine = regexp.MustCompile(`(?m)^(refuse|chunk|flood|skip|pause|done|fail|silence)\b.*\n?`)

// post sends a request and returns what a caller sees. Script lines of the
// input replace the script; the rest is the body.
func (b *bench) post(t *testing.T, d *datadriven.TestData) string {
	if l := scriptLine.FindAllString(d.Input, -1); l != nil {
		b.script = strings.Split(strings.TrimSpace(strings.Join(l, "")), "\n")
	}
	d.Input = scriptLine.ReplaceAllString(d.Input, "")
	if d.Input == "" && !d.HasArg("method") {
		d.Input = `{"model":"pattern","prompt":"hi","stream":true}`
	}
	ctx, cancel := context.WithCancel(context.Background())
	path, method, token, last, stop := "/v1/completions", "POST", "mill", "", 0
	for key, v := range map[string]any{"path": &path, "method": &method, "token": &token, "last": &last, "stop": &stop} {
		d.MaybeScanArgs(t, key, v)
	}
	r, err := http.NewRequestWithContext(ctx, method, b.server.URL+path, strings.NewReader(d.Input))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+token)
	if n, err := strconv.Atoi(last); err == nil {
		last = b.ids[n-1]
	}
	r.Header.Set("Last-Event-ID", last)
	for _, h := range []string{"X-Priority", "X-Deadline-Ms", "Traceparent"} {
		if v := ""; d.MaybeScanArgs(t, h, &v) {
			r.Header.Set(h, v)
		}
	}
	for len(b.seen) > 0 {
		<-b.seen
	}
	empty := ""
	b.lines.Store(&empty)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	if stop == 0 {
		defer cancel()
	}
	b.open = append(b.open, cancel)
	o := *b.lines.Load() + fmt.Sprintf("%d %s id=%s", a.StatusCode, a.Header.Get("Content-Type"), a.Header.Get("X-Request-Id"))
	for _, h := range []string{"Retry-After", "X-Should-Retry", "Www-Authenticate"} {
		if v := a.Header.Get(h); v != "" {
			o += fmt.Sprintf(" %s=%s", h, v)
		}
	}
	o += "\n" + strings.TrimSpace(b.read(a.Body, stop))
	if d.HasArg("sample") {
		s := <-b.seen
		o += "\nsample"
		for v := burn.Whole; v <= burn.Refused; v++ {
			good, bad := s.Of(v)
			o += fmt.Sprintf(" %s %d/%d", v, good, bad)
		}
	}
	if d.HasArg("close") {
		for _, f := range b.open {
			f()
		}
		select {
		case id := <-b.left:
			o += "\nleft " + id
		case <-time.After(200 * time.Millisecond):
			o += "\nnone left"
		}
	}
	return o
}

// constant is the part of each event that only the first one shows.
var constant = regexp.MustCompile(`"object":.*"v1",|"index":0,|"logprobs":null,`)

// read returns the body with an event on each line; it ends after a number of
// events if stop is not 0.
func (b *bench) read(body io.Reader, stop int) string {
	var o, event string
	events := 0
	for sc := bufio.NewScanner(body); sc.Scan(); {
		l := sc.Text()
		if id, ok := strings.CutPrefix(l, "id: "); ok {
			if events == 0 {
				b.ids = nil
			}
			b.ids = append(b.ids, id)
			events++
			l = b.offset(id)
		}
		if l != "" {
			event += l + " "
			continue
		}
		if events > 1 || b.count > 1 {
			event = constant.ReplaceAllString(event, "")
		}
		if o, event = o+strings.TrimSpace(event)+"\n", ""; events == stop {
			break
		}
	}
	return cursorField.ReplaceAllStringFunc(o+event, func(f string) string {
		return b.offset(cursorField.FindStringSubmatch(f)[1])
	})
}

// TestScripts guards the callers' protocol: a missing or repeated token, a
// refusal that states a wrong outcome, a cursor that resumes another request,
// and input errors that don't name the field.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := newBench(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "post":
				return b.post(t, d)
			case "invalid":
				var o strings.Builder
				for _, l := range strings.Split(d.Input, "\n") {
					d.Input = l
					a := b.post(t, d)
					o.WriteString(regexp.MustCompile(`"detail":"((\\"|[^"])*)"`).FindString(a) + "\n")
				}
				return o.String()
			}
			return ""
		})
	})
}

// TestClient guards against responses that the published OpenAI client can't
// read, and against its automatic retry of work that has run.
func TestClient(t *testing.T) {
	b := newBench(t)
	b.script = []string{`chunk "Hel"`, `chunk "lo"`, "done stop"}
	c := openai.NewClient(option.WithBaseURL(b.server.URL+"/v1"), option.WithAPIKey("mill"))
	ask := openai.ChatCompletionNewParams{
		Model:         "pattern",
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hi")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	whole, err := c.Chat.Completions.New(t.Context(), ask)
	if err != nil || whole.Choices[0].Message.Content != "Hello" || whole.Usage.TotalTokens != 7 {
		t.Fatalf("whole: %v, %+v", err, whole)
	}
	stream, acc := c.Chat.Completions.NewStreaming(t.Context(), ask), openai.ChatCompletionAccumulator{}
	for stream.Next() {
		if !acc.AddChunk(stream.Current()) {
			t.Fatal("chunk was not accepted")
		}
	}
	if err := stream.Err(); err != nil || acc.Choices[0].Message.Content != "Hello" ||
		acc.Choices[0].FinishReason != "stop" || acc.Usage.CompletionTokens != 2 {
		t.Fatalf("stream: %v, %+v", err, acc)
	}
	b.script = []string{`chunk "Hel"`, "fail engine is lost"}
	for stream = c.Chat.Completions.NewStreaming(t.Context(), ask); stream.Next(); {
	}
	if err := stream.Err(); err == nil || !strings.Contains(err.Error(), "engine is lost") {
		t.Fatalf("failed stream: got %v", err)
	}
	before := b.count
	if _, err := c.Chat.Completions.New(t.Context(), ask); err == nil || b.count != before+1 {
		t.Fatalf("lost generation: got %v after %d requests, want an error after 1", err, b.count-before)
	}
	if list, err := c.Models.List(t.Context()); err != nil || len(list.Data) != 1 || list.Data[0].ID != "pattern" {
		t.Fatalf("models: %v, %+v", err, list)
	}
}

// BenchmarkStream measures one streamed token, with cursor, JSON, write and
// flush over a loopback connection.
func BenchmarkStream(b *testing.B) {
	s := newBench(b)
	s.script = make([]string, 1000)
	for i := range s.script {
		s.script[i] = `chunk " token"`
	}
	s.script = append(s.script, "done length")
	b.ReportAllocs()
	tokens := 0
	for b.Loop() {
		r, _ := http.NewRequest("POST", s.server.URL+"/v1/completions", strings.NewReader(`{"model":"pattern","prompt":"p","stream":true}`))
		r.Header.Set("Authorization", "Bearer mill")
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		tokens += 1000
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tokens), "ns/token")
}
