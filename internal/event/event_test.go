package event

import (
	"bufio"
	"bytes"
	"testing"
)

// FuzzEvent guards against events that exceed the limit, lose bytes of the
// stream, or come without an id.
func FuzzEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n"))
	f.Add([]byte("data: x\n\n"))
	f.Add([]byte(": x\n: x\n: x\n"))
	f.Add([]byte("id: 1\r\ndata: x\r\n\r\nid: 2\n\n"))
	f.Add([]byte("\n\n\nid: x\n\n"))
	f.Add(bytes.Repeat([]byte("x"), 5000))
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 256
		r := bufio.NewReaderSize(bytes.NewReader(data), 16)
		rest := data
		for {
			text, index, err := Read(r, limit)
			if len(text) > limit || !bytes.HasPrefix(rest, text) {
				t.Fatalf("event %q of %q", text, rest)
			}
			if err != nil {
				return
			}
			if index <= 0 || len(text) == 0 {
				t.Fatalf("event %q with id %d", text, index)
			}
			rest = rest[len(text):]
		}
	})
}
