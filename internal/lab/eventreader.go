package lab

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxLineSize is the longest accepted line of an event stream in bytes.
const maxLineSize = 1 << 20

// sseEvent is one server-sent event.
type sseEvent struct {
	id   string
	name string
	data []byte
}

// eventReader reads server-sent events. The decoder of openai-go can't be used
// because it drops the event ids, which hold the cursors.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(body io.Reader) *eventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineSize)
	return &eventReader{
		scanner: lines,
	}
}

// next returns the next event that has data, or an error at the end of the
// connection. An incomplete event at the end is dropped.
func (s *eventReader) next() (sseEvent, error) {
	var e sseEvent
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		if len(line) == 0 {
			if e.data != nil {
				return e, nil
			}
			e = sseEvent{}
			continue
		}
		e.addLine(line)
	}
	if err := s.scanner.Err(); err != nil {
		return e, errors.Wrap(err, "read event")
	}
	return e, errors.New("connection ended before the response")
}

// addLine adds one line of an event. Comments and unknown fields are ignored.
func (e *sseEvent) addLine(line []byte) {
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
