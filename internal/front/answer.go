package front

import (
	"clementinelink.example/clementinelink/internal/relay"
)

// shape is what differs between the two generation endpoints.
type shape struct {
	path   string
	prefix string
	object string
	chunk  string
	chat   bool
}

var chat = shape{
	path:   "/v1/chat/completions",
	prefix: "chatcmpl-",
	object: "chat.completion",
	chunk:  "chat.completion.chunk",
	chat:   true,
}

var text = shape{
	path:   "/v1/completions",
	prefix: "cmpl-",
	object: "text_completion",
	chunk:  "text_completion",
}

// answer is a whole response or one event of it as JSON.
type answer struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// Version is the model version, constant within a response.
	Version string   `json:"system_fingerprint,omitempty"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index    int      `json:"index"`
	Message  *message `json:"message,omitempty"`
	Delta    *message `json:"delta,omitempty"`
	Text     *string  `json:"text,omitempty"`
	Logprobs *string  `json:"logprobs"`
	Finish   *string  `json:"finish_reason"`
}

type message struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// newUsage counts the tokens of a complete response, including those that
// were received before a reconnect.
func newUsage(o relay.Output) *usage {
	done := 0
	if o.At() != nil {
		done = o.At().Offset()
	}
	return &usage{
		Prompt:     o.PromptTokens(),
		Completion: done,
		Total:      o.PromptTokens() + done,
	}
}

// newAnswer returns an answer with one empty choice.
func newAnswer(rq *relay.Request, sh *shape, object string, created int64) *answer {
	return &answer{
		ID:      sh.prefix + rq.ID(),
		Object:  object,
		Created: created,
		Model:   rq.Service(),
		Choices: make([]choice, 1),
	}
}
