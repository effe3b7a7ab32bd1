package store_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/abort"
	"clementinelink.example/clementinelink/internal/store"
)

// writes are calls that change the store.
var writes = map[string]func(ctx context.Context, c *store.Client) error{
	"put": func(ctx context.Context, c *store.Client) error {
		_, err := c.Put(ctx, "k", make([]byte, store.MaxValue), 0, "")
		return err
	},
	"delete": func(ctx context.Context, c *store.Client) error { return c.Delete(ctx, "k", 1) },
}

// TestResetWhileUploading guards against a write that counts as done although the store
// reset the connection while the write was sent. Its response has no length, and the
// client reads end of file.
func TestResetWhileUploading(t *testing.T) {
	for name, write := range writes {
		c := store.New("http://store:1", 1).WithDial(abort.Dial("HTTP/1.1 200 OK\r\n\r\n" + `{"revision":2}`))
		if err := write(t.Context(), c); !errors.Is(err, store.ErrUnknown) {
			t.Errorf("%s: %v, want %v", name, err, store.ErrUnknown)
		}
	}
}

// TestStatus guards against a write that counts as rejected, so that it did not happen,
// because the response has a status that HTTP does not have.
func TestStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		s, err := abort.Start(abort.Script{
			Response: "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n",
		})
		if err != nil {
			t.Fatal(err)
		}
		for name, write := range writes {
			if err := write(t.Context(), store.New("http://"+s.Address(), 1)); !errors.Is(err, store.ErrUnknown) {
				t.Errorf("%s, status %s: %v, want %v", name, status, err, store.ErrUnknown)
			}
		}
		s.Close()
	}
}
