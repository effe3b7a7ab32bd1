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

// caller writes the response of one generation to the caller's connection, as
// server-sent events or as one JSON object.
type caller struct {
	request  *relay.Request
	endpoint *endpoint
	sampler  sampler
	writer   http.ResponseWriter
	control  *http.ResponseController
	cursors  *cursor.Writer
	// writeTimeout bounds one write to the connection.
	writeTimeout time.Duration
	// includeUsage requests a last event with token counts.
	includeUsage bool
	// headerSent is true after the response header of an event stream was sent.
	headerSent bool
	// received is the number of tokens received from the dispatcher, including
	// those sent on earlier connections.
	received int
	// pending is text that is not written yet because it ends within a UTF-8
	// character.
	pending []byte
	// eventID is the cursor after the last token whose text was written.
	eventID []byte
	// spareID is the buffer for the next cursor.
	spareID []byte
	body    *completionBody
	// buffer holds the event being written, or all text of a buffered response.
	buffer bytes.Buffer
	// emit writes text and finish writes the end of the response. They differ
	// between streamed and buffered responses, and return false if the response
	// can't go on.
	emit   func(text string, at *relay.Resume) bool
	finish func(o relay.Output) bool
}

func newCaller(s *Server, w http.ResponseWriter, rq *relay.Request, ep *endpoint, in *input, digest uint64, contract *world.Contract) *caller {
	c := &caller{
		request:  rq,
		endpoint: ep,
		sampler: sampler{
			now:      s.now,
			contract: contract,
			sample:   burn.NewSample(rq.Service(), rq.Workspace()),
			deadline: rq.Deadline(),
			last:     s.now(),
			resumed:  rq.Resume() != nil,
		},
		writer:       w,
		control:      http.NewResponseController(w),
		cursors:      s.codec.Writer(rq.ID(), rq.Service(), rq.Seed(), digest),
		writeTimeout: s.limits.writeTimeout,
		includeUsage: in.StreamOptions.IncludeUsage,
	}
	if !in.Stream {
		c.body = newCompletionBody(rq, ep, ep.object, s.now().Unix())
		c.emit, c.finish = c.bufferText, c.sendBuffered
		return c
	}
	c.body = newCompletionBody(rq, ep, ep.chunkObject, s.now().Unix())
	c.emit, c.finish = c.sendText, c.sendEnd
	if at := rq.Resume(); at != nil {
		c.received = at.Offset()
		_ = c.setPosition(at)
	}
	return c
}

// accept handles one output. done is true after the last output of a response;
// ok is false if the response can't go on.
func (c *caller) accept(o relay.Output) (done, ok bool) {
	switch o.Kind() {
	case relay.Chunk:
		return false, c.acceptChunk(o)
	case relay.Done:
		return c.acceptDone(o)
	default:
		c.fail(o.Problem())
		return true, true
	}
}

// acceptChunk handles one token. A token out of order ends the response with a
// problem, so that the caller never receives text with a gap.
func (c *caller) acceptChunk(o relay.Output) bool {
	if o.At() == nil || o.At().Offset() != c.received+1 {
		c.fail(errs.New(errs.Lost, c.outcome(), "token %d is missing", c.received))
		return false
	}
	c.received++
	c.sampler.tokenReceived()
	defer c.sampler.tokenWritten()
	c.pending = append(c.pending, o.Text()...)
	if endsWithinRune(c.pending) {
		return true
	}
	return c.emitPending(o.At())
}

// emitPending writes the pending text; at is the position after it.
func (c *caller) emitPending(at *relay.Resume) bool {
	text := string(c.pending)
	c.pending = c.pending[:0]
	return c.emit(text, at)
}

// acceptDone handles the output that ends a complete response.
func (c *caller) acceptDone(o relay.Output) (done, ok bool) {
	if at := o.At(); at != nil && at.Offset() != c.received {
		c.fail(errs.New(errs.Lost, c.outcome(), "token %d is missing", c.received))
		return false, false
	}
	if len(c.pending) > 0 && !c.emitPending(o.At()) {
		return true, false
	}
	c.sampler.completed()
	return true, c.finish(o)
}

// outcome returns what is known of the generation if it is ended here rather
// than by the dispatcher.
func (c *caller) outcome() errs.Outcome {
	if c.received > 0 {
		return errs.Ran
	}
	return errs.Unknown
}

// fail sends a problem to the caller: as the whole response before the first
// event, and as an event after it. For a caller that reconnected, the outcome is
// always Ran, because an earlier connection received part of the response.
func (c *caller) fail(p *errs.Problem) {
	c.sampler.failed(p)
	if c.request.Resume() != nil && p.Outcome() != errs.Ran {
		p = errs.New(p.Kind(), errs.Ran, "%s", p.Detail()).WithRetry(p.Retry())
	}
	if !c.headerSent {
		_ = c.control.SetWriteDeadline(time.Now().Add(c.writeTimeout))
		writeProblem(c.writer, p, string(c.eventID))
		return
	}
	fields := "event: error\n"
	if p.Retry() > 0 {
		fields += "retry: " + strconv.FormatInt(p.Retry().Milliseconds(), 10) + "\n"
	}
	_ = c.sendEvent(fields, newProblemBody(p, string(c.eventID)))
}

// setPosition sets the event id to the cursor for at. If it can't be encoded,
// the response ends with a problem that holds the previous cursor.
func (c *caller) setPosition(at *relay.Resume) bool {
	if at == nil {
		return true
	}
	c.body.Version = at.Version()
	id, err := c.cursors.Append(c.spareID[:0], at)
	if err != nil {
		c.fail(errs.New(errs.Internal, c.outcome(), "the position after token %d can't be encoded", at.Offset()))
		return false
	}
	c.eventID, c.spareID = id, c.eventID
	return true
}

// sendText writes text as one event.
func (c *caller) sendText(text string, at *relay.Resume) bool {
	if !c.setPosition(at) {
		return false
	}
	first := c.body.Choices[0].Delta == nil && c.request.Resume() == nil
	out := &c.body.Choices[0]
	if c.endpoint.chat {
		out.Delta = &message{
			Content: &text,
		}
		if first {
			out.Delta.Role = "assistant"
		}
	} else {
		out.Text = &text
	}
	return c.sendEvent("", c.body)
}

// sendEnd writes the event with the finish reason, the event with the usage if
// requested, and the [DONE] event.
func (c *caller) sendEnd(o relay.Output) bool {
	if !c.setPosition(o.At()) {
		return false
	}
	finish, empty := o.Finish(), ""
	out := &c.body.Choices[0]
	out.Finish = &finish
	if c.endpoint.chat {
		out.Delta = &message{}
	} else {
		out.Text = &empty
	}
	if !c.sendEvent("", c.body) {
		return false
	}
	if c.includeUsage {
		c.body.Choices = []choice{}
		c.body.Usage = newUsage(o)
		if !c.sendEvent("", c.body) {
			return false
		}
	}
	c.buffer.Reset()
	c.writeFields("")
	c.buffer.WriteString("data: [DONE]\n\n")
	return c.flushEvent()
}

// sendEvent writes one event with v as JSON data. fields holds the complete
// lines that come before its id.
func (c *caller) sendEvent(fields string, v any) bool {
	c.buffer.Reset()
	c.writeFields(fields)
	c.buffer.WriteString("data: ")
	encoder := json.NewEncoder(&c.buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return false
	}
	c.buffer.WriteByte('\n')
	return c.flushEvent()
}

// writeFields adds fields and the id line to the buffer.
func (c *caller) writeFields(fields string) {
	c.buffer.WriteString(fields)
	if len(c.eventID) > 0 {
		c.buffer.WriteString("id: ")
		c.buffer.Write(c.eventID)
		c.buffer.WriteByte('\n')
	}
}

// flushEvent writes the buffered event to the connection. A caller that blocks
// the write for longer than the write timeout loses the connection and can
// reconnect.
func (c *caller) flushEvent() bool {
	if !c.headerSent {
		c.headerSent = true
		h := c.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
	}
	_ = c.control.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	if _, err := c.writer.Write(c.buffer.Bytes()); err != nil {
		return false
	}
	return c.control.Flush() == nil
}

// bufferText adds text to a response that is not streamed.
func (c *caller) bufferText(text string, at *relay.Resume) bool {
	if at != nil {
		c.body.Version = at.Version()
	}
	c.buffer.WriteString(text)
	return true
}

// sendBuffered writes the buffered text as one JSON object.
func (c *caller) sendBuffered(o relay.Output) bool {
	finish, text := o.Finish(), c.buffer.String()
	out := &c.body.Choices[0]
	out.Finish = &finish
	if c.endpoint.chat {
		out.Message = &message{
			Role:    "assistant",
			Content: &text,
		}
	} else {
		out.Text = &text
	}
	c.body.Usage = newUsage(o)
	c.writer.Header().Set("Content-Type", "application/json")
	_ = c.control.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	return json.NewEncoder(c.writer).Encode(c.body) == nil
}

// endsWithinRune reports whether b ends within a UTF-8 character.
func endsWithinRune(b []byte) bool {
	for i := 1; i < utf8.UTFMax && i <= len(b); i++ {
		if tail := b[len(b)-i:]; utf8.RuneStart(tail[0]) {
			return !utf8.FullRune(tail)
		}
	}
	return false
}
