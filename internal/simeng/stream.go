package simeng

import (
	"context"
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/ring"
)

// The finish reasons of an answer.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// signal is the kind of an event that the batch sends to the goroutine that
// writes a stream to a connection.
type signal uint8

const (
	// sigToken carries one token.
	sigToken signal = iota
	// sigFinish ends a complete stream.
	sigFinish
	// sigClose ends the connection without a finish.
	sigClose
	// sigReset resets the connection.
	sigReset
	// sigMute leaves the connection open without further output.
	sigMute
)

// event is one message from the batch to a reader.
type event struct {
	signal signal
	token  uint32
	index  int
	// finish is the finish reason of a sigFinish event.
	finish string
}

// reader is the queue of events to the connection that a stream is written to.
// It has room for every event that the stream can still produce, so that the
// batch never blocks on a slow connection.
type reader struct {
	events *ring.Ring[event]
}

func newReader(capacity int) *reader {
	return &reader{
		// Leaves room for the signal that ends the reader.
		events: ring.New[event](capacity+2, ring.Refuse),
	}
}

func (r *reader) send(e event) { r.events.Put(context.Background(), e) }

// key identifies one attempt of a request.
type key struct {
	request string
	attempt uint32
}

// stream is the generation of one attempt. The batch goroutine owns it.
type stream struct {
	key      key
	version  string
	prompt   string
	limit    int
	priority int
	stop     []string
	chain    *Chain
	// prefixLen is the number of tokens that the caller gave as prefix.
	prefixLen int
	prefix    []uint32
	tokens    []uint32
	// text is the text of prefix and tokens. It is empty if there is no stop
	// sequence to search for.
	text strings.Builder
	// readyAt is the earliest time of the next token.
	readyAt time.Time
	finish  string
	// reader is nil while no connection reads the stream.
	reader *reader
	// detachedAt is when the last reader was detached, zero while there is one.
	detachedAt time.Time
	// badKind is the kind of the Bad fault that applies, or "".
	badKind string
}

func newStream(o *openBody, prompt string) *stream {
	s := &stream{
		key: key{
			request: o.Request,
			attempt: o.Attempt,
		},
		version:   o.Version,
		prompt:    prompt,
		limit:     o.MaxTokens,
		priority:  o.Priority,
		stop:      o.Stop,
		chain:     NewChain(prompt, o.Version, o.Seed, o.Prefix),
		prefixLen: len(o.Prefix),
		prefix:    o.Prefix,
	}
	if len(s.stop) > 0 {
		for _, id := range o.Prefix {
			s.text.WriteString(Text(id))
		}
	}
	return s
}

// index returns the index of the next token.
func (s *stream) index() int { return s.prefixLen + len(s.tokens) }

// step generates one token or finishes the stream, and reports whether it
// generated a token.
func (s *stream) step() bool {
	if containsStop(s.text.String(), s.stop) {
		s.complete(finishStop)
		return false
	}
	if s.index() >= s.limit {
		s.complete(finishLength)
		return false
	}
	if len(s.stop) > 0 {
		s.text.WriteString(Text(s.chain.Peek()))
		if containsStop(s.text.String(), s.stop) {
			s.complete(finishStop)
			return false
		}
	}
	id := s.chain.Next()
	e := event{
		signal: sigToken,
		token:  id,
		index:  s.index(),
	}
	s.tokens = append(s.tokens, id)
	s.emit(e)
	if s.index() >= s.limit {
		s.complete(finishLength)
	}
	return true
}

// complete sets the finish reason and sends it to the reader.
func (s *stream) complete(finish string) {
	s.finish = finish
	s.emit(event{
		signal: sigFinish,
		index:  s.index(),
		finish: finish,
	})
}

// emit sends an event to the reader, if there is one.
func (s *stream) emit(e event) {
	if s.reader != nil {
		s.reader.send(e)
	}
}

// attach replaces the reader by a new one, which gets all events from the token
// index offset on.
func (s *stream) attach(offset int) *reader {
	s.closeReader(sigClose, time.Time{})
	r := newReader(s.limit - offset + 1)
	s.reader = r
	for i := offset; i < s.index(); i++ {
		r.send(event{
			signal: sigToken,
			token:  s.tokenAt(i),
			index:  i,
		})
	}
	if s.finish != "" {
		s.complete(s.finish)
	}
	return r
}

// tokenAt returns the token with the index, from the prefix or the generated
// tokens.
func (s *stream) tokenAt(index int) uint32 {
	if index < s.prefixLen {
		return s.prefix[index]
	}
	return s.tokens[index-s.prefixLen]
}

// closeReader sends the signal to the reader, if there is one, and detaches it.
func (s *stream) closeReader(g signal, now time.Time) {
	s.emit(event{
		signal: g,
	})
	s.reader = nil
	s.detachedAt = now
}
