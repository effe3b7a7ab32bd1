package front

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"clementinelink.example/clementinelink/internal/burn"
	"clementinelink.example/clementinelink/internal/cursor"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/world"
)

// caller is the connection to the caller of one generation.
type caller struct {
	request *relay.Request
	shape   *shape
	measure measure
	writer  http.ResponseWriter
	control *http.ResponseController
	cursors *cursor.Writer
	// write bounds one write to the connection.
	write time.Duration
	// usage asks for a last event with token counts.
	usage bool
	// begun is true once the response header is sent.
	begun bool
	// received is the number of tokens taken from the dispatcher, including
	// those of an earlier connection.
	received int
	// held is text that is not written yet because it ends within a character.
	held []byte
	// id is the cursor after the last token whose text was written.
	id []byte
	// spare is the buffer for the next cursor.
	spare  []byte
	answer *answer
	event  bytes.Buffer
	// emit and finish write text and the end; they differ between streaming
	// and buffered responses. False means that the connection is lost.
	emit   func(text string, at *relay.Resume) bool
	finish func(o relay.Output) bool
}

func newCaller(s *Server, w http.ResponseWriter, rq *relay.Request, sh *shape, in *input, sum uint64, contract *world.Contract) *caller {
	c := &caller{
		request: rq,
		shape:   sh,
		measure: measure{
			now:      s.now,
			contract: contract,
			sample:   burn.NewSample(rq.Service(), rq.Workspace()),
			deadline: rq.Deadline(),
			last:     s.now(),
			resumed:  rq.Resume() != nil,
		},
		writer:  w,
		control: http.NewResponseController(w),
		cursors: s.codec.Writer(rq.ID(), rq.Service(), rq.Seed(), sum),
		write:   s.limits.write,
		usage:   in.Options.Usage,
	}
	if !in.Stream {
		c.answer = newAnswer(rq, sh, sh.object, s.now().Unix())
		c.emit, c.finish = c.keep, c.sendWhole
		return c
	}
	c.answer = newAnswer(rq, sh, sh.chunk, s.now().Unix())
	c.emit, c.finish = c.sendText, c.sendEnd
	if at := rq.Resume(); at != nil {
		c.received = at.Offset()
		_ = c.mark(at)
	}
	return c
}

// accept takes one output. done is true after the last output of a response;
// ok is false when the response can't go on.
func (c *caller) accept(o relay.Output) (done, ok bool) {
	switch o.Kind() {
	case relay.Chunk:
		return false, c.chunk(o)
	case relay.Done:
		return c.done(o)
	default:
		c.fail(o.Problem())
		return true, true
	}
}

// chunk takes one token. A token out of order ends the response, because what
// follows it would have a gap.
func (c *caller) chunk(o relay.Output) bool {
	if o.At() == nil || o.At().Offset() != c.received+1 {
		c.fail(errs.New(errs.Lost, c.outcome(), "token %d is missing", c.received))
		return false
	}
	c.received++
	c.measure.token()
	defer c.measure.written()
	c.held = append(c.held, o.Text()...)
	if partial(c.held) {
		return true
	}
	return c.flush(o.At())
}

// flush writes the held text; at is the position after it.
func (c *caller) flush(at *relay.Resume) bool {
	text := string(c.held)
	c.held = c.held[:0]
	return c.emit(text, at)
}

func (c *caller) done(o relay.Output) (done, ok bool) {
	if at := o.At(); at != nil && at.Offset() != c.received {
		c.fail(errs.New(errs.Lost, c.outcome(), "token %d is missing", c.received))
		return false, false
	}
	if len(c.held) > 0 && !c.flush(o.At()) {
		return true, false
	}
	c.measure.done()
	return true, c.finish(o)
}

// outcome returns what is known of the generation when the front ends it.
func (c *caller) outcome() errs.Outcome {
	if c.received > 0 {
		return errs.Ran
	}
	return errs.Unknown
}

// fail tells the caller of a problem: as the response before the first event
// and as an event after it. A response that an earlier connection received in
// part has run, whatever the problem says of this one.
func (c *caller) fail(p *errs.Problem) {
	c.measure.failed(p)
	if c.request.Resume() != nil && p.Outcome() != errs.Ran {
		p = errs.New(p.Kind(), errs.Ran, "%s", p.Detail()).WithRetry(p.Retry())
	}
	if !c.begun {
		_ = c.control.SetWriteDeadline(time.Now().Add(c.write))
		writeProblem(c.writer, p, string(c.id))
		return
	}
	kind := "event: error\n"
	if p.Retry() > 0 {
		kind += "retry: " + strconv.FormatInt(p.Retry().Milliseconds(), 10) + "\n"
	}
	_ = c.send(kind, newProblemBody(p, string(c.id)))
}

// mark makes at the position that the next event states. A position that can't
// be encoded ends the response at the last one.
func (c *caller) mark(at *relay.Resume) bool {
	if at == nil {
		return true
	}
	c.answer.Version = at.Version()
	id, err := c.cursors.Append(c.spare[:0], at)
	if err != nil {
		c.fail(errs.New(errs.Internal, c.outcome(), "the position after token %d can't be encoded", at.Offset()))
		return false
	}
	c.id, c.spare = id, c.id
	return true
}

// sendText writes text as one event.
func (c *caller) sendText(text string, at *relay.Resume) bool {
	if !c.mark(at) {
		return false
	}
	first := c.answer.Choices[0].Delta == nil && c.request.Resume() == nil
	v := &c.answer.Choices[0]
	if c.shape.chat {
		v.Delta = &message{
			Content: &text,
		}
		if first {
			v.Delta.Role = "assistant"
		}
	} else {
		v.Text = &text
	}
	return c.send("", c.answer)
}

// sendEnd writes the event with the finish reason, the usage if asked for,
// and the end mark.
func (c *caller) sendEnd(o relay.Output) bool {
	if !c.mark(o.At()) {
		return false
	}
	finish, empty := o.Finish(), ""
	v := &c.answer.Choices[0]
	v.Finish = &finish
	if c.shape.chat {
		v.Delta = &message{}
	} else {
		v.Text = &empty
	}
	if !c.send("", c.answer) {
		return false
	}
	if c.usage {
		c.answer.Choices = []choice{}
		c.answer.Usage = newUsage(o)
		if !c.send("", c.answer) {
			return false
		}
	}
	c.event.Reset()
	c.head("")
	c.event.WriteString("data: [DONE]\n\n")
	return c.push()
}

// send writes one event with v as JSON; kind holds the lines before its id.
func (c *caller) send(kind string, v any) bool {
	c.event.Reset()
	c.head(kind)
	c.event.WriteString("data: ")
	e := json.NewEncoder(&c.event)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return false
	}
	c.event.WriteByte('\n')
	return c.push()
}

// head starts an event with the lines before its data.
func (c *caller) head(kind string) {
	c.event.WriteString(kind)
	if len(c.id) > 0 {
		c.event.WriteString("id: ")
		c.event.Write(c.id)
		c.event.WriteByte('\n')
	}
}

// push writes and flushes the event. A caller that does not read for the
// write limit loses the connection and can reconnect.
func (c *caller) push() bool {
	if !c.begun {
		c.begun = true
		h := c.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
	}
	_ = c.control.SetWriteDeadline(time.Now().Add(c.write))
	if _, err := c.writer.Write(c.event.Bytes()); err != nil {
		return false
	}
	return c.control.Flush() == nil
}

// keep stores text for a response that is written as a whole.
func (c *caller) keep(text string, at *relay.Resume) bool {
	if at != nil {
		c.answer.Version = at.Version()
	}
	c.event.WriteString(text)
	return true
}

// sendWhole writes the stored text as one JSON object.
func (c *caller) sendWhole(o relay.Output) bool {
	finish, text := o.Finish(), c.event.String()
	v := &c.answer.Choices[0]
	v.Finish = &finish
	if c.shape.chat {
		v.Message = &message{
			Role:    "assistant",
			Content: &text,
		}
	} else {
		v.Text = &text
	}
	c.answer.Usage = newUsage(o)
	c.writer.Header().Set("Content-Type", "application/json")
	_ = c.control.SetWriteDeadline(time.Now().Add(c.write))
	return json.NewEncoder(c.writer).Encode(c.answer) == nil
}

// partial reports whether b ends within a UTF-8 character.
func partial(b []byte) bool {
	for i := 1; i < utf8.UTFMax && i <= len(b); i++ {
		if tail := b[len(b)-i:]; utf8.RuneStart(tail[0]) {
			return !utf8.FullRune(tail)
		}
	}
	return false
}
