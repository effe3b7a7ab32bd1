package once

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// serve listens on a local port, reads the header of one request and calls
// answer. It returns the address.
func serve(t *testing.T, answer func(c net.Conn, req *http.Request)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		answer(c, req)
	}()
	return l.Addr().String()
}

// post returns a POST request whose target must not be re-encoded.
func post(address string) *http.Request {
	return &http.Request{
		Method: http.MethodPost,
		URL: &url.URL{
			Opaque: "/a%2Fb?x=1",
		},
		Host:   address,
		Header: http.Header{},
	}
}

// TestDo guards against a request target that is changed on the way, such as a
// decoded %2F, and against a body without its length.
func TestDo(t *testing.T) {
	address := serve(t, func(c net.Conn, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n%-40s", req.RequestURI+" "+string(body))
	})
	a, err := New(time.Second).Do(context.Background(), address, post(address), []byte("hi"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil || strings.TrimSpace(string(body)) != "/a%2Fb?x=1 hi" {
		t.Errorf("%q, %v", body, err)
	}
}

// TestErrNotSent guards against a request that counts as not sent although the
// upstream may have run it: only a refused connection is ErrNotSent, not one
// that breaks after the request was written.
func TestErrNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := l.Addr().String()
	_ = l.Close()
	if _, err := New(time.Second).Do(context.Background(), refused, post(refused), nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("refused connection: %v", err)
	}
	address := serve(t, func(net.Conn, *http.Request) {})
	if _, err := New(time.Second).Do(context.Background(), address, post(address), nil); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("broken connection: %v", err)
	}
}

// TestEarlyAnswer guards against a deadlock when an upstream answers without
// reading a long body: the blocked write must not keep the answer from being
// read.
func TestEarlyAnswer(t *testing.T) {
	address := serve(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(200 * time.Millisecond)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := New(time.Second).Do(ctx, address, post(address), make([]byte, 8<<20))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if a.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d", a.StatusCode)
	}
}

// TestCancel guards against an upstream that keeps working after the caller has
// left: the end of the context must close the connection while the body is read.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nx")
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	a, err := New(time.Second).Do(ctx, address, post(address), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	cancel()
	if _, err := io.ReadAll(a.Body); err == nil {
		t.Error("the body is complete")
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the upstream still sees the connection")
	}
}
