package accord

import (
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/abort"
	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/wire"
	"google.golang.org/protobuf/proto"
)

// TestResetWhileUploading guards against a part of another VM's reply, without length,
// that is taken for the whole, so that some charges are missing. A part of an encoded
// message may be a valid message.
func TestResetWhileUploading(t *testing.T) {
	part, err := proto.Marshal(&wire.CollectReply{
		Charges: []*wire.Charge{
			{
				Service: "draft",
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	c := newClient()
	c.dial = abort.Dial("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n" + string(part))
	if got, err := c.collect(t.Context(), "vm:1", blame.NewRun(time.Now(), blame.RunSpec{})); err == nil {
		t.Errorf("%d charges without an error", len(got))
	}
}
