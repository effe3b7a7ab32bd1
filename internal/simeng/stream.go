package simeng

import (
	"context"
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/ring"
)

const (
	finishStop   = "stop"
	finishLength = "length"
)

// signal is what the batch tells the duty that writes a stream.
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
	// sigMute leaves the connection open and silent.
	sigMute
)

// event is one message from the batch to a reader.
type event struct {
	signal signal
	token  uint32
	index  int
	// finish is the reason in sigFinish.
	finish string
}

// reader is the connection that a stream is written to. Its ring has room for
// every event that the stream can still have, so the batch never waits for it.
type reader struct {
	events *ring.Ring[event]
}

func newReader(events int) *reader {
	return &reader{
		// One more for the signal that ends the reader.
		events: ring.New[event](events+2, ring.Refuse),
	}
}

func (r *reader) send(e event) { r.events.Put(context.Background(), e) }

// key names one attempt of a request.
type key struct {
	request string
	attempt uint32
}

// stream is one attempt of a generation, owned by the batch.
type stream struct {
	key      key
	version  string
	prompt   string
	limit    int
	priority int
	stop     []string
	chain    *Chain
	// first is the number of tokens that the caller gave as prefix.
	first  int
	tokens []uint32
	// text is the text of prefix and tokens, kept only for stop sequences.
	text strings.Builder
	// ready is the earliest time of the next token.
	ready  time.Time
	finish string
	// reader is nil while no connection reads the stream.
	reader *reader
	// left is when the last reader went away, zero while one is there.
	left time.Time
	bad  string
}

func newStream(o *openBody, prompt string) *stream {
	s := &stream{
		key: key{
			request: o.Request,
			attempt: o.Attempt,
		},
		version:  o.Version,
		prompt:   prompt,
		limit:    o.MaxTokens,
		priority: o.Priority,
		stop:     o.Stop,
		chain:    NewChain(prompt, o.Version, o.Seed, o.Prefix),
		first:    len(o.Prefix),
	}
	if len(s.stop) > 0 {
		for _, id := range o.Prefix {
			s.text.WriteString(Text(id))
		}
	}
	return s
}

// index returns the index of the next token.
func (s *stream) index() int { return s.first + len(s.tokens) }

// step generates one token or the finish, and reports whether it was a token.
func (s *stream) step() bool {
	if stops(s.text.String(), s.stop) {
		s.end(finishStop)
		return false
	}
	if s.index() >= s.limit {
		s.end(finishLength)
		return false
	}
	if len(s.stop) > 0 {
		s.text.WriteString(Text(s.chain.Peek()))
		if stops(s.text.String(), s.stop) {
			s.end(finishStop)
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
	s.tell(e)
	if s.index() >= s.limit {
		s.end(finishLength)
	}
	return true
}

func (s *stream) end(finish string) {
	s.finish = finish
	s.tell(event{
		signal: sigFinish,
		index:  s.index(),
		finish: finish,
	})
}

func (s *stream) tell(e event) {
	if s.reader != nil {
		s.reader.send(e)
	}
}

// attach makes a new reader from the given index on; an earlier reader ends.
func (s *stream) attach(offset int) *reader {
	s.drop(sigClose, time.Time{})
	r := newReader(s.limit - offset + 1)
	s.reader = r
	for i := offset; i < s.index(); i++ {
		r.send(event{
			signal: sigToken,
			token:  s.tokens[i-s.first],
			index:  i,
		})
	}
	if s.finish != "" {
		s.end(s.finish)
	}
	return r
}

// drop ends the reader with a signal.
func (s *stream) drop(g signal, now time.Time) {
	s.tell(event{
		signal: g,
	})
	s.reader = nil
	s.left = now
}
