package intact

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestKept guards against good responses on a kept connection that count as incomplete:
// with a length, and without one at the end of the connection, each after an upload.
func TestKept(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if r.URL.Path != "/end" {
			w.Header().Set("Content-Length", "5")
			_, _ = io.WriteString(w, "whole")
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = c.Close()
		if n != r.ContentLength {
			t.Errorf("%d bytes read of %d", n, r.ContentLength)
		}
	}))
	defer s.Close()
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	for _, size := range []int{0, 1, 4000, 4096, 100_000, 4 << 20} {
		for _, path := range []string{"/", "/", "/end", "/end"} {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+path, bytes.NewReader(make([]byte, size)))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := transport.RoundTrip(req)
			if err != nil {
				t.Fatalf("%d bytes to %s: %v", size, path, err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || string(body) != "whole" {
				t.Errorf("%d bytes to %s: %q, %v", size, path, body, err)
			}
		}
	}
}
