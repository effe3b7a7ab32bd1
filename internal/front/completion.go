package front

import (
	"clementinelink.example/clementinelink/internal/relay"
)

// endpoint describes one of the two generation endpoints.
type endpoint struct {
	path        string
	idPrefix    string
	object      string
	chunkObject string
	chat        bool
}

var chatCompletions = endpoint{
	path:        "/v1/chat/completions",
	idPrefix:    "chatcmpl-",
	object:      "chat.completion",
	chunkObject: "chat.completion.chunk",
	chat:        true,
}

var textCompletions = endpoint{
	path:        "/v1/completions",
	idPrefix:    "cmpl-",
	object:      "text_completion",
	chunkObject: "text_completion",
}

// completionBody is the JSON form of a buffered response or of one event of a
// streamed response.
type completionBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// Version is the model version, which is the same throughout a response.
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

// newUsage returns the token counts of a complete response, including the
// tokens received before a reconnect.
func newUsage(o relay.Output) *usage {
	generated := 0
	if o.At() != nil {
		generated = o.At().Offset()
	}
	return &usage{
		Prompt:     o.PromptTokens(),
		Completion: generated,
		Total:      o.PromptTokens() + generated,
	}
}

// newCompletionBody returns a body with one empty choice.
func newCompletionBody(rq *relay.Request, ep *endpoint, object string, created int64) *completionBody {
	return &completionBody{
		ID:      ep.idPrefix + rq.ID(),
		Object:  object,
		Created: created,
		Model:   rq.Service(),
		Choices: make([]choice, 1),
	}
}
