package once

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestCutHead guards against a response whose head ends early, at any byte, and that
// is taken for a whole one with an empty or shorter body.
func TestCutHead(t *testing.T) {
	const head = "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nX-Response: seal\r\nContent-Length: 12\r\nX-Last: c\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	parts := make(chan string, 1)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 4096)
			_, _ = conn.Read(buffer)
			_, _ = conn.Write([]byte(<-parts))
			_ = conn.Close()
		}
	}()
	d := New(time.Second)
	for n := range len(head) + 1 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String()+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		parts <- head[:n]
		a, err := d.Do(t.Context(), l.Addr().String(), req, nil)
		if whole := n == len(head); (err == nil) != whole {
			t.Errorf("head of %d of %d bytes: %v", n, len(head), err)
		}
		if a != nil {
			a.Close()
		}
	}
}
