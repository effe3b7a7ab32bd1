package once

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/abort"
	"github.com/cockroachdb/errors"
)

// upload is a body that exceeds the buffers of a local connection.
var upload = make([]byte, 16<<20)

const (
	withoutLength = "HTTP/1.1 200 OK\r\nX-Response: seal\r\n\r\npart"
	withLength    = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
	withChunks    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"
)

// read sends a request with a body and reads the whole response.
func read(t *testing.T, d *Dialer, address string, body []byte) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a, err := d.Do(ctx, address, post(address), body)
	if err != nil {
		return "", err
	}
	defer a.Close()
	got, err := io.ReadAll(a.Body)
	return string(got), err
}

// TestResetWhileUploading guards against a part of a response that is taken for the
// whole: the upstream resets the connection while the upload is written, and the
// client reads end of file.
func TestResetWhileUploading(t *testing.T) {
	t.Run("reset while the upload is written, without length", func(t *testing.T) {
		s, err := abort.Start(abort.Script{
			Response: withoutLength,
			Reset:    true,
		})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		for range abort.Tries {
			if got, err := read(t, New(time.Second), s.Address(), upload); err == nil {
				t.Fatalf("%q is complete", got)
			}
		}
	})
	for _, c := range []struct {
		name     string
		response string
		complete bool
	}{
		{
			name:     "failed write, without length",
			response: withoutLength,
		},
		{
			name:     "failed write, with length",
			response: withLength,
			complete: true,
		},
		{
			name:     "failed write, with chunks",
			response: withChunks,
			complete: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New(time.Second)
			d.dial = abort.Dial(c.response)
			if got, err := read(t, d, "upstream:1", upload); (err == nil) != c.complete || c.complete && got != "part" {
				t.Errorf("%q, %v, want complete: %t", got, err, c.complete)
			}
		})
	}
}

// TestEarlyResponse guards against a good response that is given up because it began
// before the upload was done, and against one that ended before the upload did.
func TestEarlyResponse(t *testing.T) {
	for _, c := range []struct {
		name     string
		script   abort.Script
		complete bool
	}{
		{
			name: "reads on, with length",
			script: abort.Script{
				Response: withLength,
			},
			complete: true,
		},
		{
			name: "reads on, with chunks",
			script: abort.Script{
				Response: withChunks,
			},
			complete: true,
		},
		{
			name: "reads on and ends later, without length",
			script: abort.Script{
				Response: strings.TrimSuffix(withoutLength, "part"),
				Rest:     "part",
			},
			complete: true,
		},
		{
			name: "ends before it reads on, without length",
			script: abort.Script{
				Response:  withoutLength,
				HalfClose: true,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := abort.Start(c.script)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if got, err := read(t, New(time.Second), s.Address(), upload); (err == nil) != c.complete || c.complete && got != "part" {
				t.Errorf("%q, %v, want complete: %t", got, err, c.complete)
			}
		})
	}
}

// TestStatus guards against a response with a status that HTTP does not have, which
// no caller can be sent.
func TestStatus(t *testing.T) {
	for status, valid := range map[string]bool{
		"000": false,
		"099": false,
		"200": true,
		"599": true,
		"600": false,
		"999": false,
	} {
		address := serve(t, func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n")
		})
		heads := 0
		a, err := New(time.Second).DoHooked(t.Context(), address, post(address), nil, Hooks{
			Head: func(int, http.Header) { heads++ },
		})
		if (err == nil) != valid || (heads > 0) != valid || errors.Is(err, ErrNotSent) {
			t.Errorf("status %s: %v, %d heads, want valid: %t", status, err, heads, valid)
		}
		if a != nil {
			a.Close()
		}
	}
}
