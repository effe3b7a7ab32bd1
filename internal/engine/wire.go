package engine

import "encoding/json"

// openBody is the body of POST /v1/completions.
type openBody struct {
	Request     string          `json:"request"`
	Attempt     uint32          `json:"attempt"`
	Model       string          `json:"model"`
	Version     string          `json:"version"`
	Prompt      string          `json:"prompt,omitempty"`
	Messages    json.RawMessage `json:"messages,omitempty"`
	Prefix      []uint32        `json:"prefix,omitempty"`
	MaxTokens   int             `json:"max_tokens"`
	Seed        uint64          `json:"seed"`
	Temperature *float64        `json:"temperature,omitempty"`
	TopP        *float64        `json:"top_p,omitempty"`
	Stop        []string        `json:"stop,omitempty"`
	Priority    int             `json:"priority"`
	Stream      bool            `json:"stream"`
}

// chunk is one event of an engine's stream: a token, or the end of the stream if
// Finish is not empty.
type chunk struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Index   int    `json:"index"`
	Token   uint32 `json:"token"`
	Text    string `json:"text"`
	Finish  string `json:"finish"`
	Prompt  int    `json:"prompt_tokens"`
}

// unavailableBody is the body of a response with status 503.
type unavailableBody struct {
	Leaving bool `json:"leaving"`
}

// loadBody is the body of the response to GET /load.
type loadBody struct {
	Incarnation uint64   `json:"incarnation"`
	AgeMS       int64    `json:"age_ms"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Slots       int      `json:"slots"`
	Versions    []string `json:"versions"`
	Leaving     bool     `json:"leaving"`
}

// orderBody is the body of POST /orders.
type orderBody struct {
	ID      string `json:"id"`
	Fence   uint64 `json:"fence"`
	Op      string `json:"op"`
	Version string `json:"version"`
}

// conflictBody is the body of a 409 response to POST /orders. Fence is the
// highest fencing number that the engine has seen.
type conflictBody struct {
	Fence uint64 `json:"fence"`
}
