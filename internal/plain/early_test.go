package plain

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/abort"
	"clementinelink.example/clementinelink/internal/errs"
)

const (
	withoutLength = "HTTP/1.1 200 OK\r\n\r\npart"
	withLength    = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
	withChunks    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"
)

// upload is a body that exceeds the buffers of a local connection.
var upload = make([]byte, 16<<20)

// kinds are the kinds of call.
var kinds = map[string]func(c *Client, ctx context.Context, address string, call *Call) Result{
	"booking": (*Client).Book,
	"lookup":  (*Client).Lookup,
}

// exchange sends a call of each kind with a body and checks whether the response
// "part" counts as complete.
func exchange(t *testing.T, c *Client, address string, body []byte, complete bool) {
	t.Helper()
	for kind, send := range kinds {
		r := send(c, t.Context(), address, NewCall("q1", http.MethodPost, "/b", http.Header{}, body, time.Now().Add(10*time.Second)))
		if got := r.Answer(); (got != nil) != complete || complete && string(got.Body()) != "part" {
			t.Errorf("%s: answer %v, problem %v, want complete: %t", kind, got, r.Problem(), complete)
		}
	}
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
		c := New()
		defer c.Close()
		for range abort.Tries {
			if exchange(t, c, s.Address(), upload, false); t.Failed() {
				return
			}
		}
	})
	t.Run("failed write, without length", func(t *testing.T) {
		c := New().WithDial(abort.Dial(withoutLength))
		defer c.Close()
		exchange(t, c, "upstream:1", upload, false)
		exchange(t, c, "upstream:1", nil, false)
	})
}

// TestEarlyResponse guards against a good response that is given up because it began
// before the upload was done, and against one that ended before the upload did.
func TestEarlyResponse(t *testing.T) {
	for _, e := range []struct {
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
		t.Run(e.name, func(t *testing.T) {
			s, err := abort.Start(e.script)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			c := New()
			defer c.Close()
			exchange(t, c, s.Address(), upload, e.complete)
		})
	}
}

// TestStatus guards against a response with a status that HTTP does not have, which
// no caller can be sent. The call may have run.
func TestStatus(t *testing.T) {
	for status, valid := range map[string]bool{
		"000": false,
		"099": false,
		"200": true,
		"599": true,
		"600": false,
		"999": false,
	} {
		s, err := abort.Start(abort.Script{
			Response: "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n",
		})
		if err != nil {
			t.Fatal(err)
		}
		c := New()
		for kind, send := range kinds {
			r := send(c, t.Context(), s.Address(), NewCall("q1", http.MethodGet, "/b", http.Header{}, nil, time.Now().Add(10*time.Second)))
			if (r.Answer() != nil) != valid || !valid && r.Outcome() != errs.Unknown {
				t.Errorf("%s, status %s: answer %v, outcome %v", kind, status, r.Answer(), r.Outcome())
			}
		}
		c.Close()
		s.Close()
	}
}
