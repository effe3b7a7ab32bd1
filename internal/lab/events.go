package lab

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// lineMax is the longest accepted line of an event stream, in bytes.
const lineMax = 1 << 20

// sseEvent is one server-sent event.
type sseEvent struct {
	id   string
	name string
	data []byte
}

// events reads server-sent events. openai-go's decoder gives no ids, which
// are the cursors, so it can't be used here.
type events struct {
	lines *bufio.Scanner
}

func newEvents(body io.Reader) *events {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, lineMax)
	return &events{
		lines: lines,
	}
}

// next returns the next event that has data, or an error at the end of the
// connection. An event that the end cuts off is dropped.
func (s *events) next() (sseEvent, error) {
	var e sseEvent
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if len(line) == 0 {
			if e.data != nil {
				return e, nil
			}
			e = sseEvent{}
			continue
		}
		e.field(line)
	}
	if err := s.lines.Err(); err != nil {
		return e, errors.Wrap(err, "read event")
	}
	return e, errors.New("connection ended before the answer")
}

// field adds one line; comments and unknown fields are ignored.
func (e *sseEvent) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id = string(value)
	case "event":
		e.name = string(value)
	case "data":
		if e.data != nil {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
}
