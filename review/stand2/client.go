package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// clientKey is the key of the clients' tenant.
const clientKey = "xd9dnn2ctnfzs989anu6"

// host is the host of all routes.
const host = "ficu95.example"

// request is what a client sends.
type request struct {
	id       string
	method   string
	path     string
	body     []byte
	deadline time.Duration
	// tokens is the size of the prompt and the output, or "" for plain requests.
	tokens   string
	position int
}

// result is what a client got.
type result struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
	took     time.Duration
}

// String describes a result for the record.
func (r result) String() string {
	return fmt.Sprintf("status %d, %d bytes, complete %t, %v, %d ms", r.status, len(r.body), r.complete, r.err, r.took.Milliseconds())
}

// isReady reports whether an entry process says that it is ready.
func (f *fleet) isReady(i int) bool {
	c := http.Client{
		Timeout: time.Second,
	}
	resp, err := c.Get("http://" + f.ready[i] + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: (&net.Dialer{
				Timeout: time.Second,
			}).DialContext,
			DisableCompression: true,
		},
	}
}

// send sends a request to an entry process and reads the whole answer.
func (f *fleet) send(c *http.Client, edge int, q request) result {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+f.edges[edge]+q.path, bytes.NewReader(q.body))
	if err != nil {
		return result{
			err: err,
		}
	}
	req.Host = host
	req.Header.Set(name("id"), q.id)
	req.Header.Set(name("deadline"), strconv.FormatInt(q.deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+clientKey)
	if q.tokens != "" {
		req.Header.Set(name("model"), "m")
		req.Header.Set(name("tokens"), q.tokens)
		req.Header.Set(name("parts"), "5c1e07a2:200,"+q.id+":1000")
	}
	if q.position > 0 {
		req.Header.Set(name("position"), strconv.Itoa(q.position))
	}
	f.note("client sends %s %s to edge-%d", q.id, q.path, edge)
	var r result
	resp, err := c.Do(req)
	if err == nil {
		r.status, r.header = resp.StatusCode, resp.Header
		r.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.complete = err == nil
	}
	r.err, r.took = err, time.Since(began)
	f.note("client got %s: %s", q.id, r)
	return r
}
