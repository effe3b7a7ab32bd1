package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is the time between two entries of a worker in the store.
	heartbeat = 1200 * time.Millisecond
	// prefillRate is the number of prompt tokens that a worker reads in a millisecond.
	prefillRate = 5
	// eventTokens is the number of tokens in an event of a stream.
	eventTokens = 8
	// engineMemory is the memory of an engine in tokens.
	engineMemory = 55_000
)

// worker is a stand-in for one worker of the platform.
type worker struct {
	id, service, zone, version, store string
	address                           string
	born                              int64
	slots                             int
	// work is the time that a plain request takes, and step the time between two events.
	work, step time.Duration
	// unframed is the number of requests of which one has an answer that ends with its
	// connection, or 0 for none.
	unframed uint64
	// stubborn is true if the worker does not drop a run when its connection closes.
	stubborn bool
	// queue is the number of streams that may wait for a slot.
	queue   int
	waiting atomic.Int64
	// places holds an element for each stream that runs.
	places chan struct{}
	// slow is how long a step takes in percent of the usual time, or 0 for that.
	slow    atomic.Int64
	seq     atomic.Int64
	running atomic.Int64
	// stops holds the function that stops each run of a stream, by the request's id.
	stops    sync.Map
	logMutex sync.Mutex
	output   io.Writer
}

// runWorker runs the worker that args describe until its process ends.
func runWorker(args []string, output io.Writer) error {
	w := &worker{
		born:   time.Now().UnixMilli(),
		output: output,
	}
	f := flag.NewFlagSet("worker", flag.ContinueOnError)
	f.StringVar(&w.id, "id", "", "id of the incarnation")
	f.StringVar(&w.service, "service", "", "name of the service")
	f.StringVar(&w.zone, "zone", "", "zone")
	f.StringVar(&w.version, "version", "v1", "version of the software")
	f.StringVar(&w.store, "store", "", "address of the store")
	f.StringVar(&w.address, "address", "127.0.0.1:0", "address to listen on")
	f.IntVar(&w.slots, "slots", 32, "requests at once")
	f.DurationVar(&w.work, "work", 15*time.Millisecond, "time that a plain request takes")
	f.DurationVar(&w.step, "step", 28*time.Millisecond, "time between two events of a stream")
	f.Uint64Var(&w.unframed, "unframed", 0, "one in so many answers ends with its connection")
	f.IntVar(&w.queue, "queue", 0, "streams that may wait for a slot")
	f.BoolVar(&w.stubborn, "stubborn", false, "keep runs whose connection closes")
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	w.places = make(chan struct{}, w.slots)
	go w.beat()
	return http.Serve(l, w)
}

// beat writes the worker's entry to the store for as long as its process lives.
func (w *worker) beat() {
	for {
		value, _ := json.Marshal(map[string]any{
			"service":      w.service,
			"address":      w.address,
			"zone":         w.zone,
			"version":      w.version,
			"slots":        w.slots,
			"state":        "ready",
			"cold_left_ms": 0,
			"seq":          w.seq.Add(1),
			"born":         w.born,
		})
		body, _ := json.Marshal(map[string]any{
			"value": value,
		})
		resp, err := http.Post("http://"+w.store+"/stand-in/"+name("registry")+w.id, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

// log writes a line about a run.
func (w *worker) log(event, id string, fields map[string]any) {
	line := map[string]any{
		"event":  event,
		"id":     id,
		"worker": w.id,
		"ms":     time.Now().UnixMilli(),
	}
	for k, v := range fields {
		line[k] = v
	}
	text, _ := json.Marshal(line)
	w.logMutex.Lock()
	defer w.logMutex.Unlock()
	_, _ = fmt.Fprintf(w.output, "%s\n", text)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(name("instance"), w.id)
	running := w.running.Load()
	rw.Header().Set(name("load"), fmt.Sprintf("%d,0,%d", running, w.slots))
	if id := r.Header.Get(name("id")); id != "" {
		rw.Header().Set(name("id"), id)
	}
	switch {
	case r.URL.Path == slowPath:
		x, _ := strconv.ParseInt(r.URL.Query().Get("percent"), 10, 64)
		w.slow.Store(x)
		w.log("work takes longer", "", map[string]any{
			"percent": x,
		})
	case r.URL.Path == "/healthz":
		rw.WriteHeader(http.StatusOK)
	case r.URL.Path == name("report"):
		answer(rw, map[string]any{
			"stage": "both",
			"models": []any{map[string]any{
				"name":    "m",
				"version": 1,
			}},
			"waiting":  w.waiting.Load(),
			"running":  running,
			"kv_used":  running * 2000,
			"kv_total": engineMemory,
			"state":    "ready",
			"runs":     []any{},
			"born":     w.born,
		})
	case r.URL.Path == name("list"):
		answer(rw, map[string]any{
			"held": []any{},
		})
	case r.URL.Path == name("move"):
		w.move(rw, r)
	case strings.HasPrefix(r.URL.Path, name("handle")):
		rw.WriteHeader(http.StatusOK)
	case r.Header.Get(name("id")) == "":
		rw.Header().Set(name("not-run"), "1")
		rw.WriteHeader(http.StatusBadRequest)
	case r.Header.Get(name("expect")) != "" && r.Header.Get(name("expect")) != w.id:
		rw.WriteHeader(http.StatusMisdirectedRequest)
	case int(running) >= w.slots && int(w.waiting.Load()) >= w.queue, r.Header.Get(name("copy")) != "":
		// This worker has no room for copies.
		rw.Header().Set(name("not-run"), "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.waiting.Add(1)
		w.places <- struct{}{}
		w.waiting.Add(-1)
		w.running.Add(1)
		defer func() {
			w.running.Add(-1)
			<-w.places
		}()
		if r.Context().Err() != nil && !w.stubborn {
			return
		}
		w.run(rw, r)
	}
}

// slowPath is the path at which a case slows a worker down.
const slowPath = "/stand-in/slow"

// pause waits for a time, longer while the worker is slow.
func (w *worker) pause(d time.Duration) {
	time.Sleep(d * time.Duration(max(w.slow.Load(), 100)) / 100)
}

// move stops a run, or answers that there is no room for a copy of it.
func (w *worker) move(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	stop, ok := w.stops.Load(order.ID)
	switch {
	case !ok:
		rw.WriteHeader(http.StatusNotFound)
	case !order.Last:
		rw.WriteHeader(http.StatusServiceUnavailable)
	default:
		stop.(context.CancelFunc)()
		w.log("stopped", order.ID, nil)
		answer(rw, map[string]any{
			"handle":          order.ID,
			"create_revision": 0,
		})
	}
}

// run runs a request.
func (w *worker) run(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(name("id"))
	_, _ = io.Copy(io.Discard, r.Body)
	seal := "s." + w.id + "." + id
	rw.Header().Set(name("seal"), seal)
	unframed := w.isUnframed(id)
	tokens := strings.Split(r.Header.Get(name("tokens")), ",")
	if len(tokens) == 2 {
		w.stream(rw, r, id, tokens, unframed)
		return
	}
	w.log("run", id, map[string]any{
		"unframed": unframed,
	})
	time.Sleep(w.work)
	body := plainBody(id)
	if !unframed {
		rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = rw.Write(body)
	} else if conn, out := hijack(rw, rw.Header(), ""); conn != nil {
		_, _ = out.Write(body)
		_ = out.Flush()
		_ = conn.Close()
	}
	w.log("answered", id, nil)
}

// plainBody returns the body of the answer to a plain request.
func plainBody(id string) []byte { return []byte(strings.Repeat(id+"\n", 800/(len(id)+1)+1)) }

// isUnframed reports whether the answer to the request ends with its connection.
func (w *worker) isUnframed(id string) bool {
	n, err := strconv.ParseUint(id, 16, 64)
	return err == nil && w.unframed > 0 && n%w.unframed == 7%w.unframed
}

// hijack writes the head of an answer without a length and returns the connection.
func hijack(rw http.ResponseWriter, header http.Header, kind string) (net.Conn, *bufio.Writer) {
	conn, buffer, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return nil, nil
	}
	out := buffer.Writer
	_, _ = fmt.Fprint(out, "HTTP/1.1 200 OK\r\n")
	_ = header.Write(out)
	if kind != "" {
		_, _ = fmt.Fprintf(out, "Content-Type: %s\r\n", kind)
	}
	_, _ = fmt.Fprint(out, "Connection: close\r\n\r\n")
	return conn, out
}

// stream runs a request whose answer is a stream of events.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string, tokens []string, unframed bool) {
	prompt, _ := strconv.Atoi(tokens[0])
	output, _ := strconv.Atoi(tokens[1])
	position, _ := strconv.Atoi(r.Header.Get(name("position")))
	events := output / eventTokens
	w.log("run", id, map[string]any{
		"unframed": unframed,
		"from":     position + 1,
		"events":   events,
	})
	run, stop := context.WithCancel(context.Background())
	defer stop()
	w.stops.Store(id, stop)
	defer w.stops.Delete(id)
	w.pause(time.Duration(prompt/prefillRate) * time.Millisecond)
	var out io.Writer = rw
	flush := func() { rw.(http.Flusher).Flush() }
	if unframed {
		conn, buffer := hijack(rw, rw.Header(), "text/event-stream")
		if conn == nil {
			return
		}
		defer func() { _ = conn.Close() }()
		out, flush = buffer, func() { _ = buffer.Flush() }
	} else {
		rw.Header().Set("Content-Type", "text/event-stream")
	}
	for k := position + 1; k <= events; k++ {
		if run.Err() != nil {
			// The stream is closed without its end.
			panic(http.ErrAbortHandler)
		}
		_, err := io.WriteString(out, streamEvent(id, k))
		if flush(); err != nil || r.Context().Err() != nil && !unframed {
			if !w.stubborn {
				w.log("dropped", id, nil)
				return
			}
			w.log("works without a connection", id, map[string]any{
				"at": k,
			})
		}
		w.pause(w.step)
	}
	w.log("answered", id, nil)
}

// streamEvent returns an event of a stream.
func streamEvent(id string, k int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", k, id, k)
}
