package front

import (
	"net/http"
	"time"

	"clementinelink.example/clementinelink/internal/burn"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/world"
)

// sampler compares the timing and result of one generation with its contract
// and counts them in a sample of the service-level objectives.
type sampler struct {
	now      func() time.Time
	contract *world.Contract
	sample   *burn.Sample
	deadline time.Time
	// last is the time when the request arrived or the last token was written.
	// The duration of a write depends on the caller and is not part of a gap.
	last time.Time
	// started is true after the first token on this connection.
	started bool
	// resumed is true if the caller reconnected.
	resumed bool
}

// tokenReceived counts a token from the dispatcher as in time or late.
func (s *sampler) tokenReceived() {
	wait := s.now().Sub(s.last)
	switch {
	case s.started:
		s.sample.Count(burn.TokenGap, wait <= s.contract.TokenGap())
	case s.resumed:
		s.sample.Count(burn.Resume, wait <= s.contract.Resume())
	default:
		s.sample.Count(burn.FirstToken, wait <= s.contract.FirstToken())
	}
	s.started = true
}

// tokenWritten starts the measurement of the next token gap.
func (s *sampler) tokenWritten() { s.last = s.now() }

// completed counts a complete response as in time or late.
func (s *sampler) completed() {
	s.sample.Count(burn.Refused, true)
	s.sample.Count(burn.Complete, !s.now().After(s.deadline))
}

// failed counts a response that ended with a problem. A response that failed
// because the caller reads too slowly does not count against the service.
func (s *sampler) failed(p *errs.Problem) {
	refused := p.Outcome() == errs.NotRun && isRefusal(p.Status())
	s.sample.Count(burn.Refused, !refused)
	if !refused && p.Kind() != errs.Slow {
		s.sample.Count(burn.Complete, false)
	}
}

// isRefusal reports whether an HTTP status refuses a request for a reason other
// than the caller's mistake.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

// newCallSample returns the sample of a plain call. A call whose caller
// disconnected counts neither as complete nor as incomplete.
func newCallSample(service, workspace string, status int, inTime, disconnected bool) *burn.Sample {
	s := burn.NewSample(service, workspace)
	refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	s.Count(burn.Refused, !refused)
	if !refused && !disconnected {
		s.Count(burn.Complete, inTime && status < http.StatusInternalServerError)
	}
	return s
}
