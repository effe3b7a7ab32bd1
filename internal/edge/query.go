package edge

import (
	"cmp"
	"context"
	"syscall"
	"time"

	"clementinelink.example/clementinelink/internal/pause"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/reap"
	"github.com/cockroachdb/errors"
)

// startQuery starts the query to an engine that the core asks for, without
// blocking the dispatcher. The result, or the failure, arrives as an event.
func (d *Dispatcher) startQuery(ctx context.Context, a proxy.Action, r *request) {
	if a.Kind() == proxy.StopRun {
		contact := d.contact(ctx, a, a.Stop().Run().Instance)
		if a.Upstream() != nil {
			contact.Gate = a.Upstream().Gate()
		}
		go d.stopRun(ctx, a.Stop(), a.Timeout(), contact)
		return
	}
	id, address, wait := a.Upstream().ID(), a.Upstream().Address(), a.Timeout()
	contact := d.contact(ctx, a, cmp.Or(a.Instance(), id))
	switch a.Kind() {
	case proxy.QueryState:
		go d.queryState(ctx, id, address, a.Instance(), wait, contact)
	case proxy.QueryID:
		go d.queryInstance(ctx, id, address, a.Path(), wait, contact)
	case proxy.QueryPrompt:
		go d.queryPrompt(ctx, a.Number(), id, address, a.Prompt(), wait, contact)
	case proxy.Copy:
		if r != nil {
			go d.requestCopy(ctx, a.Number(), a.Attempt(), r.id, address, a.Holder().Address(), wait, contact)
		}
	}
}

// queryState queries the state of an engine. An answer that can't be decoded
// counts as an empty state, since the engine is alive.
func (d *Dispatcher) queryState(ctx context.Context, id, address, instance string, wait time.Duration, c Contact) {
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	due := d.now().Add(wait)
	s, err := d.upstreams.State(limited, address, c)
	switch {
	case errors.Is(err, ErrMalformedAnswer):
		d.log.logQueryFailure(id, err)
	case err != nil:
		e := proxy.NewStateTimeout(id, instance, err.Error(), errors.Is(err, syscall.ECONNREFUSED))
		if late, paused := pause.Late(d.now(), due); paused {
			e = e.Late(late)
		}
		d.notify(ctx, e)
		return
	}
	d.notify(ctx, proxy.NewStateReported(id, instance, s))
}

// requestCopy requests that an engine copy a run to the engine at holder.
func (d *Dispatcher) requestCopy(ctx context.Context, number uint64, attempt int, id, address, holder string, wait time.Duration, c Contact) {
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	handle, err := d.upstreams.Copy(limited, address, id, holder, c)
	if err != nil {
		d.log.logCopyFailure(id, holder, err)
	}
	d.notify(ctx, proxy.NewCopied(number, attempt, handle))
}

// queryInstance queries the id of the incarnation that answers at address.
func (d *Dispatcher) queryInstance(ctx context.Context, id, address, path string, wait time.Duration, c Contact) {
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	instance, err := d.upstreams.InstanceID(limited, address, path, c)
	if err != nil {
		d.log.logQueryFailure(id, err)
	}
	d.notify(ctx, proxy.NewIDReported(id, instance))
}

// queryPrompt queries how many tokens of a prompt an engine has in its cache.
// If the query fails, the engine counts as having none.
func (d *Dispatcher) queryPrompt(ctx context.Context, number uint64, id, address, prompt string, wait time.Duration, c Contact) {
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	tokens, err := d.upstreams.CachedTokens(limited, address, prompt, c)
	if err != nil {
		d.log.logQueryFailure(id, err)
	}
	d.notify(ctx, proxy.NewPromptReported(number, id, tokens))
}

// stopRun orders an engine to stop the run of a cancelled attempt.
func (d *Dispatcher) stopRun(ctx context.Context, o reap.Order, wait time.Duration, c Contact) {
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	outcome, err := d.upstreams.StopRun(limited, o, c)
	d.log.logStop(d.now(), o, outcome, err)
	d.notify(ctx, proxy.NewStopReported(o, outcome))
}
