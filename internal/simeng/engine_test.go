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
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/simeng"
	"github.com/cockroachdb/datadriven"
)

// silence is how long a read waits before it calls a stream silent.
const silence = 250 * time.Millisecond

// volatile matches what differs from run to run in answers.
var volatile = regexp.MustCompile(`("seq":)[0-9]+(,"age_ms":)[0-9]+|("(?:incarnation|gap_ms|generated|wasted)":)[0-9.]+`)

// TestScripts guards against a stand-in that is kinder or harsher than the
// engine contract: wrong order, lost retained streams, faults without effect.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		x := &bench{
			streams: map[string]*stream{},
			client: &http.Client{
				Transport: &http.Transport{
					DisableKeepAlives: true,
				},
			},
		}
		datadriven.RunTest(t, path, x.run)
		x.engine.Close()
	})
}

// TestChain guards against ids that don't depend on the whole prefix: a mixed
// generation would then look right again after the mix.
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

type bench struct {
	engine  *simeng.Engine
	client  *http.Client
	streams map[string]*stream
}

func (x *bench) run(t *testing.T, d *datadriven.TestData) string {
	name := word(d, "name", "s")
	switch d.Cmd {
	case "engine":
		return x.start(t, d)
	case "stream":
		return x.stream(d, name)
	case "read":
		return x.streams[name].read(num(d, "tokens", -1))
	case "last":
		items := strings.Fields(x.streams[name].read(-1))
		return items[len(items)-1] + "\n"
	case "drop":
		x.streams[name].cancel()
	case "call":
		resp, err := x.send(context.Background(), d)
		if err != nil {
			return "no answer\n"
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return "broken answer\n"
		}
		return fmt.Sprintf("%d %s", resp.StatusCode, volatile.ReplaceAllString(string(body), "$1$2${3}_"))
	case "sleep":
		time.Sleep(time.Duration(num(d, "ms", 0)) * time.Millisecond)
	case "prompt":
		text, err := simeng.Prompt(json.RawMessage(d.Input))
		return fmt.Sprintf("%q %v\n", text, err)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return ""
}

func (x *bench) start(t *testing.T, d *datadriven.TestData) string {
	if x.engine != nil {
		x.engine.Close()
	}
	pulls := 0
	x.engine = simeng.New("e1",
		simeng.WithSlots(num(d, "slots", 4), num(d, "queue", 2)),
		simeng.WithGap(time.Duration(num(d, "gap", 2))*time.Millisecond, 0.5),
		simeng.WithPrefill(time.Duration(num(d, "prefill", 0))*time.Microsecond),
		simeng.WithCache(3, 20*time.Millisecond, 3),
		simeng.WithLoadLag(10*time.Millisecond),
		simeng.WithRetain(time.Duration(num(d, "retain", 5000))*time.Millisecond),
		simeng.WithFencing(!d.HasArg("unfenced")),
		simeng.WithWeights(func(_ context.Context, _, version string) error {
			if pulls++; version == "limited" && pulls < 100 {
				return fmt.Errorf("pull %d: 429", pulls)
			}
			return nil
		}, 20*time.Millisecond))
	if err := x.engine.Start(); err != nil {
		d.Fatalf(t, "start: %v", err)
	}
	return ""
}

// send sends METHOD and path of the first two arguments with the input as body.
func (x *bench) send(ctx context.Context, d *datadriven.TestData) (*http.Response, error) {
	if ms := num(d, "within", 0); ms > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	// A path with a query is split at "=" as key and value.
	path := d.CmdArgs[1].String()
	r, err := http.NewRequestWithContext(ctx, d.CmdArgs[0].Key, "http://"+x.engine.Address()+path, strings.NewReader(d.Input))
	if err != nil {
		return nil, err
	}
	return x.client.Do(r)
}

func (x *bench) stream(d *datadriven.TestData, name string) string {
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := x.send(ctx, d)
	if err != nil {
		cancel()
		return "no answer\n"
	}
	s := &stream{
		cancel: cancel,
		lines:  make(chan string, 1024),
		want:   simeng.Expected("p", "v1", 7, 1000),
	}
	x.streams[name] = s
	go s.scan(resp.Body)
	return fmt.Sprintf("%d\n", resp.StatusCode)
}

// stream is an open SSE answer.
type stream struct {
	cancel context.CancelFunc
	// lines holds the data lines and how the connection ended.
	lines chan string
	want  []string
}

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

// read prints the index of each token, with "?" where the text isn't the one
// of the answer to prompt p, until limit tokens, the end or silence.
func (s *stream) read(limit int) string {
	var out strings.Builder
	for limit != 0 {
		limit--
		select {
		case line := <-s.lines:
			fmt.Fprintf(&out, "%s ", s.show(line))
			if line == "reset" || line == "end" {
				return out.String() + "\n"
			}
		case <-time.After(silence):
			return out.String() + "silent\n"
		}
	}
	return out.String() + "\n"
}

func (s *stream) show(line string) string {
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

func word(d *datadriven.TestData, name, value string) string {
	if a, ok := d.Arg(name); ok {
		return a.Vals[0]
	}
	return value
}

func num(d *datadriven.TestData, name string, value int) int {
	if a, ok := d.Arg(name); ok {
		if _, err := fmt.Sscan(a.Vals[0], &value); err != nil {
			panic(err)
		}
	}
	return value
}
