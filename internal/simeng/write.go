package simeng

import (
	"encoding/json"
	"net/http"
	"time"

	"clementinelink.example/clementinelink/internal/simeng/host"
)

// badAfterTokens is the number of correct tokens that precede the effect of a
// Bad fault.
const badAfterTokens = 3

// tokenBody is the SSE data of one token.
type tokenBody struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Index   int    `json:"index"`
	Token   uint32 `json:"token"`
	Text    string `json:"text"`
}

// finishBody is the SSE data that ends a complete answer.
type finishBody struct {
	Request      string `json:"request"`
	Attempt      uint32 `json:"attempt"`
	Index        int    `json:"index"`
	Finish       string `json:"finish"`
	PromptTokens int    `json:"prompt_tokens"`
}

// writeStream sends the events of a reader as SSE until the stream or the
// connection ends.
func (h *handlers) writeStream(w http.ResponseWriter, r *http.Request, o openResult) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	flush(w)
	defer h.detach(o)
	for sent := 0; ; sent++ {
		select {
		case <-r.Context().Done():
			return
		case <-h.incarnation.ctx.Done():
			host.Reset(r)
		case e := <-o.reader.events.Out():
			if !h.writeEvent(w, r, o, e, sent) {
				return
			}
		}
	}
}

// writeEvent writes one event and reports whether more may follow.
func (h *handlers) writeEvent(w http.ResponseWriter, r *http.Request, o openResult, e event, sent int) bool {
	switch e.signal {
	case sigReset:
		host.Reset(r)
	case sigMute:
		<-r.Context().Done()
		return false
	case sigClose:
		return false
	case sigFinish:
		body := finishBody{
			Request:      o.key.request,
			Attempt:      o.key.attempt,
			Index:        e.index,
			Finish:       e.finish,
			PromptTokens: promptTokens(o.stream.prompt),
		}
		writeData(w, body)
		if o.stream.badKind == BadFinish {
			writeData(w, body)
		}
		return false
	}
	return h.writeToken(w, o, e, sent)
}

// writeToken writes one token, altered according to the stream's Bad fault. It
// reports whether more events may follow.
func (h *handlers) writeToken(w http.ResponseWriter, o openResult, e event, sent int) bool {
	body := tokenBody{
		Request: o.key.request,
		Attempt: o.key.attempt,
		Index:   e.index,
		Token:   e.token,
		Text:    Text(e.token),
	}
	if o.stream.badKind != "" && sent >= badAfterTokens {
		switch o.stream.badKind {
		case BadTruncate:
			return false
		case BadSkip:
			if sent == badAfterTokens {
				return true
			}
		case BadRepeat:
			if sent == badAfterTokens {
				writeData(w, body)
			}
		case BadCross:
			body.Request += "-other"
		}
	}
	writeData(w, body)
	return true
}

// detach tells the batch that the connection no longer reads the stream.
func (h *handlers) detach(o openResult) {
	h.incarnation.batch.commands.Put(h.incarnation.ctx, func(b *batch, now time.Time) {
		b.detach(o.stream, o.reader, now)
	})
}

// writeData writes body as one SSE data event.
func writeData(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = w.Write(append(append([]byte("data: "), data...), "\n\n"...))
	flush(w)
}

func flush(w http.ResponseWriter) {
	// A broken connection is noticed through the request's context.
	_ = http.NewResponseController(w).Flush()
}
