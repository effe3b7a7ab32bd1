// Package event reads the events of a stream of server-sent events.
package event

import (
	"bufio"
	"bytes"
	"strconv"

	"clementinelink.example/clementinelink/internal/bound"
	"github.com/cockroachdb/errors"
)

// ErrMalformed means that a stream contains something that is not a valid
// event with an id.
var ErrMalformed = errors.New("event: not an event")

// Read returns the next event, including the empty line that ends it, and
// its id. At the regular end of the stream it returns io.EOF and no bytes. It
// fails with bound.ErrTooLarge if the event has more than limit bytes.
func Read(r *bufio.Reader, limit int64) ([]byte, int, error) {
	var event []byte
	index := 0
	for {
		text, err := r.ReadSlice('\n')
		if int64(len(event)+len(text)) > limit {
			return event, 0, errors.Wrapf(bound.ErrTooLarge, "event is over %d", limit)
		}
		event = append(event, text...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return event, 0, err
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if index, err = strconv.Atoi(string(bytes.TrimSpace(value))); err != nil {
				return event, 0, errors.Mark(err, ErrMalformed)
			}
		}
		if len(bytes.TrimRight(text, "\r\n")) == 0 && len(event) > len(text) {
			if index <= 0 {
				return event, 0, errors.Wrap(ErrMalformed, "no id")
			}
			return event, index, nil
		}
	}
}
