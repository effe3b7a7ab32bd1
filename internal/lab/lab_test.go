package lab_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/lab"
	"clementinelink.example/clementinelink/internal/simeng"
	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"
)

// TestMain checks for goroutines that are still running after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestVerdicts guards against a caller that accepts a wrong response as whole,
// or that reports wrong text where the entry VM correctly reported an error.
func TestVerdicts(t *testing.T) {
	datadriven.Walk(t, "testdata/verdicts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			e := newFakeEntry(d)
			defer e.server.Close()
			c := lab.NewCaller([]string{e.server.Listener.Addr().String()}, "key").
				WithIdleTimeout(100 * time.Millisecond).WithTimeout(callerTimeout(d))
			defer c.Close()
			q := lab.NewRequest("drafts", "p", []string{"v1", "v2"}, 7, 6)
			if e.chat {
				q.WithChat()
			}
			if d.HasArg("whole") {
				q.WithoutStream()
			}
			response := c.Call(context.Background(), q)
			return fmt.Sprintf("%s %s tokens=%d breaks=%d cursors=%q %s\n",
				response.Verdict(), response.Version(), response.Tokens(), response.ConnectionErrors(), e.cursors, response.Note())
		})
	})
}

// callerTimeout returns the time after which the caller gives up: 30 s, or less
// than its idle timeout if the script says so.
func callerTimeout(d *datadriven.TestData) time.Duration {
	if d.HasArg("short-timeout") {
		return 50 * time.Millisecond
	}
	return 30 * time.Second
}

// fakeEntry answers each connection with the next line of a script. A line
// holds token numbers, with a prefix "vN:" for those of another version, and
// then a step that ends the response.
type fakeEntry struct {
	server  *httptest.Server
	lines   []string
	chat    bool
	cursors []string
}

func newFakeEntry(d *datadriven.TestData) *fakeEntry {
	e := &fakeEntry{
		lines: strings.Split(d.Input, "\n"),
		chat:  d.HasArg("chat"),
	}
	e.server = httptest.NewServer(e)
	return e
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.cursors = append(e.cursors, r.Header.Get("Last-Event-ID"))
	line := "hang"
	if len(e.lines) > 0 {
		line, e.lines = e.lines[0], e.lines[1:]
	}
	sent := 0
	for _, step := range strings.Fields(line) {
		version, number, ok := strings.Cut(step, ":")
		if !ok {
			version, number = "v1", step
		}
		if n, err := strconv.Atoi(number); err == nil {
			text := e.text(version)[n]
			// The first chunk holds half a token, because chunks may split
			// tokens anywhere.
			if sent++; sent == 1 {
				fmt.Fprintf(w, "data: %s\n\n", e.chunk(text[:2], ""))
				text = text[2:]
			}
			fmt.Fprintf(w, ": comment\nid: %d\ndata: %s\n\n", n+1, e.chunk(text, ""))
			continue
		}
		e.runStep(w, r, step)
	}
}

func (e *fakeEntry) runStep(w http.ResponseWriter, r *http.Request, step string) {
	switch step {
	case "done":
		fmt.Fprintf(w, "data: %s\n\ndata: {\"choices\":[],\"usage\":{}}\n\ndata: [DONE]\n\n", e.chunk("", "length"))
	case "error":
		fmt.Fprint(w, "event: error\ndata: {\"status\":502,\"title\":\"Lost\",\"outcome\":\"ran\"}\n\n")
	case "refuse":
		w.WriteHeader(http.StatusTooManyRequests)
		fmt.Fprint(w, `{"status":429,"title":"Overload","outcome":"not-run"}`)
	case "unknown":
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"status":503,"title":"Unavailable","outcome":"unknown"}`)
	case "break":
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "hang":
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	case "body":
		fmt.Fprint(w, e.chunk(strings.Join(e.text("v1"), ""), "length"))
	}
}

func (e *fakeEntry) text(version string) []string {
	prompt := "p"
	if e.chat {
		prompt = "user: p\n"
	}
	return simeng.Expected(prompt, version, 7, 6)
}

func (e *fakeEntry) chunk(text, finish string) string {
	choice := map[string]any{"text": text, "finish_reason": nil}
	if e.chat {
		choice = map[string]any{"delta": map[string]any{"content": text}, "finish_reason": nil}
	}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	data, err := json.Marshal(map[string]any{"choices": []any{choice}})
	if err != nil {
		panic(err)
	}
	return string(data)
}

// TestLoad guards against lost responses. Each request must count exactly once,
// and a gap above the threshold must count as a resume.
func TestLoad(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Prompt string
		}
		if json.NewDecoder(r.Body).Decode(&q) != nil || q.Prompt == "9" {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		for i, text := range simeng.Expected(q.Prompt, "v1", 7, 3) {
			if q.Prompt == "5" && i == 2 {
				time.Sleep(60 * time.Millisecond)
			}
			fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", i, text)
			_ = http.NewResponseController(w).Flush()
		}
		fmt.Fprint(w, "data: {\"choices\":[{\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n")
	}))
	defer s.Close()
	c := lab.NewCaller([]string{s.Listener.Addr().String()}, "key")
	defer c.Close()
	sum := lab.NewResult(50 * time.Millisecond)
	lab.NewLoad(c, 4, func(n int) *lab.Request {
		return lab.NewRequest("drafts", strconv.Itoa(n), []string{"v1"}, 7, 3)
	}).WithRate(500).Run(context.Background(), 40, sum)
	sum.SetGenerated(39*3 + 13)
	data, err := json.Marshal(sum)
	if err != nil {
		t.Fatal(err)
	}
	got := regexp.MustCompile(`,"resume_ms.*}`).ReplaceAllString(string(data), "")
	want := `{"requests":40,"whole":39,"missing":0,"repeated":0,"mixed":0,"refused":0,"failed":1,"resumes":1`
	if got != want || fmt.Sprintf("%.3f", sum.Extra()) != "0.111" {
		t.Errorf("got %s extra %g, want %s", got, sum.Extra(), want)
	}
}
