package lab

import (
	"encoding/json"

	"clementinelink.example/clementinelink/internal/simeng"
	"github.com/cockroachdb/errors"
)

// Request is a generation request with everything needed to verify its
// response.
type Request struct {
	service string
	// prompt is the user's text. In a chat it is the only message.
	prompt string
	// versions are the model versions that may respond. Each generates a
	// different text.
	versions  []string
	seed      uint64
	maxTokens int
	stop      []string
	chat      bool
	stream    bool
}

// NewRequest returns a request for a streamed completion of at most limit
// tokens. The prompt must be unique so that a response to another request is
// detected.
func NewRequest(service, prompt string, versions []string, seed uint64, limit int) *Request {
	return &Request{
		service:   service,
		prompt:    prompt,
		versions:  versions,
		seed:      seed,
		maxTokens: limit,
		stream:    true,
	}
}

// WithChat makes the request a chat completion.
func (q *Request) WithChat() *Request {
	q.chat = true
	return q
}

// WithStop sets stop sequences.
func (q *Request) WithStop(stop ...string) *Request {
	q.stop = stop
	return q
}

// WithoutStream requests the response in one body.
func (q *Request) WithoutStream() *Request {
	q.stream = false
	return q
}

// Prompt returns the prompt.
func (q *Request) Prompt() string { return q.prompt }

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type requestBody struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens"`
	Seed      uint64    `json:"seed"`
	Stop      []string  `json:"stop,omitempty"`
	Stream    bool      `json:"stream"`
}

func (q *Request) path() string {
	if q.chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

func (q *Request) messages() []message {
	return []message{
		{
			Role:    "user",
			Content: q.prompt,
		},
	}
}

func (q *Request) body() ([]byte, error) {
	b := requestBody{
		Model:     q.service,
		MaxTokens: q.maxTokens,
		Seed:      q.seed,
		Stop:      q.stop,
		Stream:    q.stream,
	}
	if q.chat {
		b.Messages = q.messages()
	} else {
		b.Prompt = q.prompt
	}
	data, err := json.Marshal(b)
	return data, errors.Wrap(err, "encode request")
}

// expected returns the tokens and the finish reason of a version's response.
func (q *Request) expected(version string) ([]string, string, error) {
	prompt := q.prompt
	if q.chat {
		data, err := json.Marshal(q.messages())
		if err != nil {
			return nil, "", errors.Wrap(err, "encode messages")
		}
		if prompt, err = simeng.Prompt(data); err != nil {
			return nil, "", err
		}
	}
	texts, finish := simeng.ExpectedStop(prompt, version, q.seed, q.maxTokens, q.stop)
	return texts, finish, nil
}
