package peer_test

import (
	"testing"

	"clementinelink.example/clementinelink/internal/abort"
	"clementinelink.example/clementinelink/internal/peer"
	"clementinelink.example/clementinelink/internal/wire"
	"google.golang.org/protobuf/proto"
)

// TestResetWhileUploading guards against a part of another VM's reply, without length,
// that is taken for the whole, so that parts of a configuration count as absent there. A
// part of an encoded message may be a valid message.
func TestResetWhileUploading(t *testing.T) {
	part, err := proto.Marshal(&wire.PartsReply{
		Parts: []*wire.Part{
			{
				Name: "a",
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	c := peer.NewClient(func(int) {}).WithDial(abort.Dial("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n" + string(part)))
	if got, err := c.Parts(t.Context(), "vm:1", []string{"a", "b"}); err == nil {
		t.Errorf("%d parts without an error", len(got))
	}
}
