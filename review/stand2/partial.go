package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"
)

// otherBody is what the process of another writer answers.
const otherBody = "other: no such page\n"

// runOther runs a process of another writer, which is no worker. It answers all requests
// with 404 and writes an entry with some fields of a worker's entry to the store.
func runOther(store, key, service string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		for {
			value, _ := json.Marshal(map[string]any{
				"service": service,
				"address": l.Addr().String(),
				"zone":    zones[0],
				"state":   "ready",
			})
			body, _ := json.Marshal(map[string]any{
				"value": value,
			})
			if resp, err := http.Post("http://"+store+"/stand-in/"+name("registry")+key, "application/json", bytes.NewReader(body)); err == nil {
				_ = resp.Body.Close()
			}
			time.Sleep(heartbeat)
		}
	}()
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		line, _ := json.Marshal(map[string]any{
			"event":  "reaches another writer's process",
			"id":     r.Header.Get(name("id")),
			"worker": key,
			"ms":     time.Now().UnixMilli(),
		})
		_, _ = fmt.Fprintf(os.Stdout, "%s\n", line)
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(otherBody))
	}))
}

// startOther starts the process of another writer.
func (f *fleet) startOther(key, service string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return f.start(key, exec.Command(self, "other", f.store.address, key, service), f.readWorker)
}

// partialEntry lets another writer register a process that is no worker, in an entry without
// some fields of a worker's entry. It checks that proper requests are not answered 4xx without
// a worker's signature, but for 5 and one in 500.
func partialEntry(f *fleet, trouble bool) ([]string, error) {
	if err := startDeployment(f, 3, 3, 3); err != nil {
		return nil, err
	}
	if trouble {
		if err := f.startOther("other-1", deskService); err != nil {
			return nil, err
		}
	}
	var (
		denied findings
		sent   atomic.Int64
		group  sync.WaitGroup
	)
	const clients, length = 20, 20 * time.Second
	for k := range clients {
		group.Go(func() {
			c := newClient()
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				q := request{
					id:       fmt.Sprintf("%016x", 2_000_000_000+sent.Add(1)),
					method:   http.MethodPost,
					path:     bookingPath,
					body:     []byte("booking"),
					deadline: 1500 * time.Millisecond,
				}
				if k%4 == 0 {
					q.method, q.path, q.body = http.MethodGet, lookupPath, nil
				}
				r := f.send(c, k%len(f.edges), q)
				if r.status >= 400 && r.status < 500 && r.header.Get(name("seal")) == "" {
					denied.add("%s %s was answered %d without a signature: %q", q.path, q.id, r.status, r.body)
				}
			}
		})
	}
	group.Wait()
	f.note("%d requests, %d answered 4xx without a signature", sent.Load(), len(denied.list))
	if len(denied.list) <= 5+int(sent.Load())/500 {
		return nil, nil
	}
	return denied.list, nil
}
