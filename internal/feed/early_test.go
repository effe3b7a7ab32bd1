package feed

import (
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/abort"
	"clementinelink.example/clementinelink/internal/mirror"
	"clementinelink.example/clementinelink/internal/wire"
	"google.golang.org/protobuf/proto"
)

// TestResetWhileUploading guards against a part of another VM's reply, without length,
// that is taken for the whole, so that changes are missing (CONFIG). A part of an encoded
// message may be a valid message.
func TestResetWhileUploading(t *testing.T) {
	part, err := proto.Marshal(&wire.ChangesReply{
		Revision: 2,
	})
	if err != nil {
		t.Fatal(err)
	}
	c := NewClient(mirror.NewLog())
	c.dial = abort.Dial("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n" + string(part))
	if got, err := c.Changes(t.Context(), "vm:1", 1, time.Second); err == nil {
		t.Errorf("changes up to %d without an error", got.changes.Revision())
	}
	if got, err := c.List(t.Context(), "vm:1", 1, time.Second); err == nil {
		t.Errorf("a list up to %d without an error", got.Revision())
	}
}
