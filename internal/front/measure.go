package front

import (
	"net/http"
	"time"

	"clementinelink.example/clementinelink/internal/burn"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/world"
)

// measure compares one generation with its contract.
type measure struct {
	now      func() time.Time
	contract *world.Contract
	sample   *burn.Sample
	deadline time.Time
	// last is when the request arrived or the last token was written. The time
	// that a write takes is the caller's and is not part of a gap.
	last time.Time
	// begun is true after the first token on this connection.
	begun bool
	// resumed is true when the caller reconnected.
	resumed bool
}

// token is called when a token arrives from the dispatcher.
func (m *measure) token() {
	wait := m.now().Sub(m.last)
	switch {
	case m.begun:
		m.sample.Count(burn.Gap, wait <= m.contract.TokenGap())
	case m.resumed:
		m.sample.Count(burn.Resume, wait <= m.contract.Resume())
	default:
		m.sample.Count(burn.First, wait <= m.contract.FirstToken())
	}
	m.begun = true
}

// written is called when a token has been written.
func (m *measure) written() { m.last = m.now() }

// done is called at the end of a complete response.
func (m *measure) done() {
	m.sample.Count(burn.Refused, true)
	m.sample.Count(burn.Whole, !m.now().After(m.deadline))
}

// failed is called at the end of a response with a problem. A caller that
// reads too slowly has no bad response.
func (m *measure) failed(p *errs.Problem) {
	refused := p.Outcome() == errs.NotRun && refusal(p.Status())
	m.sample.Count(burn.Refused, !refused)
	if !refused && p.Kind() != errs.Slow {
		m.sample.Count(burn.Whole, false)
	}
}

// refusal reports whether a status is a refusal that is not the caller's
// fault.
func refusal(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

// measureCall returns the sample of a plain call. A call that a caller
// abandoned is neither complete nor incomplete.
func measureCall(service, workspace string, status int, inTime, gone bool) *burn.Sample {
	s := burn.NewSample(service, workspace)
	refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	s.Count(burn.Refused, !refused)
	if !refused && !gone {
		s.Count(burn.Whole, inTime && status < http.StatusInternalServerError)
	}
	return s
}
