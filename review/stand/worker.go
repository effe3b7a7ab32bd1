package main

import (
	"bufio"
	"bytes"
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
	// endlessEventBytes is the size of an event of an endless stream.
	endlessEventBytes = 200 << 10
	// machineMbps is the bandwidth of a machine's link in Mbit/s, which the endless
	// streams to it share.
	machineMbps = 1000
)

// engineService is the service whose workers are model engines.
const engineService = "llm"

// worker stands for a worker of a service. It serves one request per connection.
type worker struct {
	id       string
	listener net.Listener
	record   *record
	// work is how long a request takes, and for a stream how long its prompt is read.
	work time.Duration
	// events and gap are the number of events of a stream and the time between two.
	events int
	gap    time.Duration
	// engine is true for a model engine. It has no room for copies of runs, and refuses
	// requests that name one. Other workers know nothing of copies and streams.
	engine bool
	// endless makes streams go on without end with large events, over link.
	endless atomic.Bool
	link    *link

	mutex sync.Mutex
	// runs counts the runs of each request by its id.
	runs map[string]int
	// holders holds the addresses that were named to keep copies of the runs.
	holders map[string]string
	conns   map[net.Conn]bool
}

// startWorker starts a worker on a free port and registers it.
func startWorker(s *store, r *record, l *link, id, service, zone string, slots int) (*worker, error) {
	return startWorkerAt("127.0.0.1:0", s, r, l, id, service, zone, slots)
}

// startWorkerAt starts a worker at an address and registers it.
func startWorkerAt(address string, s *store, r *record, l *link, id, service, zone string, slots int) (*worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id:       id,
		listener: listener,
		record:   r,
		engine:   service == engineService,
		work:     100 * time.Millisecond,
		events:   60,
		gap:      40 * time.Millisecond,
		link:     l,
		runs:     make(map[string]int),
		holders:  make(map[string]string),
		conns:    make(map[net.Conn]bool),
	}
	go w.accept()
	s.put(names["registry"]+id, map[string]any{
		"service":      service,
		"address":      listener.Addr().String(),
		"zone":         zone,
		"version":      "v1",
		"slots":        slots,
		"state":        "ready",
		"cold_left_ms": 0,
		"seq":          1,
		"born":         time.Now().UnixMilli(),
	})
	return w, nil
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mutex.Lock()
		w.conns[conn] = true
		w.mutex.Unlock()
		go w.serve(conn)
	}
}

// crash ends the worker and resets its connections. Its entry stays in the store.
func (w *worker) crash() {
	w.record.add("worker %s crashes", w.id)
	_ = w.listener.Close()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for conn := range w.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// holderOf returns the address that was named to keep a copy of a run, or "".
func (w *worker) holderOf(id string) string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.holders[id]
}

// ran reports whether a request ran here.
func (w *worker) ran(id string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.runs[id] > 0
}

func (w *worker) serve(conn net.Conn) {
	defer func() {
		w.mutex.Lock()
		delete(w.conns, conn)
		w.mutex.Unlock()
		_ = conn.Close()
	}()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get(headerID)
	switch {
	case req.URL.Path == healthPath:
		reply(conn, "200 OK", names["instance"]+": "+w.id+"\r\n", "")
		return
	case req.URL.Path == "/report":
		reply(conn, "200 OK", "Content-Type: application/json\r\n",
			`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"waiting":0,"running":0,"runs":[],"kv_used":0,"kv_total":55000,"handles":0,"state":"ready"}`)
		return
	case strings.HasPrefix(req.URL.Path, "/kv-"):
		// The run of a request ends with its connection.
		reply(conn, "404 Not Found", "", "")
		return
	case req.Header.Get(names["expect"]) != "" && req.Header.Get(names["expect"]) != w.id:
		w.record.add("worker %s answers 421 to %s, which names %s", w.id, id, req.Header.Get(names["expect"]))
		reply(conn, "421 Misdirected Request", names["instance"]+": "+w.id+"\r\n", "")
		return
	case id == "":
		reply(conn, "400 Bad Request", headerNotRun+": 1\r\n", "")
		return
	}
	if w.engine && req.Header.Get(names["copy"]) != "" {
		w.record.add("worker %s has no copy for %s", w.id, id)
		reply(conn, "503 Service Unavailable", headerNotRun+": 1\r\n", "")
		return
	}
	w.mutex.Lock()
	w.runs[id]++
	w.holders[id] = req.Header.Get(names["holder"])
	w.mutex.Unlock()
	w.record.add("worker %s runs %s (%s %s, body of %d bytes, workspace %q)", w.id, id, req.Method, req.RequestURI, len(body), req.Header.Get(names["workspace"]))
	head := fmt.Sprintf("%s: seal-%s\r\n%s: %s\r\n", names["seal"], id, headerID, id)
	time.Sleep(w.work)
	if !w.engine {
		reply(conn, "200 OK", head, "done "+id)
		return
	}
	w.stream(conn, head, req)
}

// stream sends the events after the position that the request names.
func (w *worker) stream(conn net.Conn, head string, req *http.Request) {
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%sTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return
	}
	filler := bytes.Repeat([]byte("x"), endlessEventBytes)
	endless := w.endless.Load()
	if endless {
		w.record.add("worker %s answers %s without end", w.id, req.Header.Get(headerID))
	}
	first, _ := strconv.Atoi(req.Header.Get(headerPosition))
	for i := first + 1; endless || i <= w.events; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if endless {
			event = fmt.Sprintf("id: %d\ndata: %s\n\n", i, filler)
			w.link.carry(len(event))
		} else {
			time.Sleep(w.gap)
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

func reply(conn net.Conn, status, head, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
}

// link is a network link that its users share. It delays what it carries.
type link struct {
	mbps int

	mutex sync.Mutex
	// free is when the link has carried all bytes so far.
	free time.Time
}

// carry waits until the link has carried n bytes. A nil link takes no time.
func (l *link) carry(n int) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(8*n) * time.Microsecond / time.Duration(l.mbps))
	wait := l.free.Sub(now)
	l.mutex.Unlock()
	if wait > time.Millisecond {
		time.Sleep(wait)
	}
}
