package simeng

import (
	"encoding/json"
	"net/http"
	"time"

	"clementinelink.example/clementinelink/internal/simeng/host"
)

// badAfter is the number of good tokens before a Bad fault shows.
const badAfter = 3

type tokenBody struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Index   int    `json:"index"`
	Token   uint32 `json:"token"`
	Text    string `json:"text"`
}

type finishBody struct {
	Request      string `json:"request"`
	Attempt      uint32 `json:"attempt"`
	Index        int    `json:"index"`
	Finish       string `json:"finish"`
	PromptTokens int    `json:"prompt_tokens"`
}

// write sends the events of a reader as SSE until the stream or the
// connection ends.
func (d *door) write(w http.ResponseWriter, r *http.Request, o opened) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	flush(w)
	defer d.detach(o)
	for sent := 0; ; sent++ {
		select {
		case <-r.Context().Done():
			return
		case <-d.life.ctx.Done():
			host.Reset(r)
		case e := <-o.reader.events.Out():
			if !d.put(w, r, o, e, sent) {
				return
			}
		}
	}
}

// put writes one event and reports whether more may follow.
func (d *door) put(w http.ResponseWriter, r *http.Request, o opened, e event, sent int) bool {
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
		send(w, body)
		if o.stream.bad == BadFinish {
			send(w, body)
		}
		return false
	}
	return d.token(w, o, e, sent)
}

// token writes one token, changed as a Bad fault asks.
func (d *door) token(w http.ResponseWriter, o opened, e event, sent int) bool {
	body := tokenBody{
		Request: o.key.request,
		Attempt: o.key.attempt,
		Index:   e.index,
		Token:   e.token,
		Text:    Text(e.token),
	}
	if o.stream.bad != "" && sent >= badAfter {
		switch o.stream.bad {
		case BadTruncate:
			return false
		case BadSkip:
			if sent == badAfter {
				return true
			}
		case BadRepeat:
			if sent == badAfter {
				send(w, body)
			}
		case BadCross:
			body.Request += "-other"
		}
	}
	send(w, body)
	return true
}

// detach tells the batch that the connection no longer reads.
func (d *door) detach(o opened) {
	d.life.batch.commands.Put(d.life.ctx, func(b *batch, now time.Time) {
		b.detach(o.stream, o.reader, now)
	})
}

func send(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = w.Write(append(append([]byte("data: "), data...), "\n\n"...))
	flush(w)
}

func flush(w http.ResponseWriter) {
	// A write to a broken connection fails; the request's context tells.
	_ = http.NewResponseController(w).Flush()
}
