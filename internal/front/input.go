package front

import (
	"bytes"
	"encoding/json"
	"math"
	"reflect"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/relay"
)

// prefixSize is the number of leading bytes of a prompt that are hashed, so
// that requests with a common prefix can go to the same engine's cache.
const prefixSize = 1024

// maxStopSequences is the number of stop sequences that the OpenAI API allows.
const maxStopSequences = 4

// input is the JSON body of a generation request. Other fields of the OpenAI
// API are ignored.
type input struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Seed                *int64          `json:"seed"`
	Stop                json.RawMessage `json:"stop"`
	Temperature         *float64        `json:"temperature"`
	TopP                *float64        `json:"top_p"`
	N                   *int            `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// parse decodes a body. Its problem names the invalid field.
func parse(body []byte) (*input, *errs.Problem) {
	var in input
	err := json.Unmarshal(body, &in)
	if err == nil {
		return &in, nil
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return nil, invalid("%s must be %s, not %s", typeErr.Field, typeName(typeErr.Type), typeErr.Value)
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return nil, invalid("body is not JSON at byte %d", syntaxErr.Offset)
	}
	return nil, invalid("body must be a JSON object")
}

// typeName returns the JSON name of a Go type, with an article.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	default:
		return "an object"
	}
}

// tokenLimit returns the largest number of tokens to generate.
func (in *input) tokenLimit(l Limits) (int, *errs.Problem) {
	field, n := "max_tokens", in.MaxTokens
	if in.MaxCompletionTokens != nil {
		field, n = "max_completion_tokens", in.MaxCompletionTokens
	}
	if n == nil {
		return l.defaultTokens, nil
	}
	if *n < 1 || *n > l.maxTokens {
		return 0, invalid("%s must be from 1 to %d, not %d", field, l.maxTokens, *n)
	}
	return *n, nil
}

// seed returns the caller's seed, or one derived from the request id, so that
// all attempts and VMs use the same one. A derived seed has 53 bits, which any
// JSON parser reads without loss.
func (in *input) seed(id string) (uint64, *errs.Problem) {
	if in.Seed == nil {
		return xxhash.Sum64String(id) >> 11, nil
	}
	if *in.Seed < 0 {
		return 0, invalid("seed must not be negative, but is %d", *in.Seed)
	}
	return uint64(*in.Seed), nil
}

// sampling returns the sampling parameters.
func (in *input) sampling() (relay.Sampling, *errs.Problem) {
	var none relay.Sampling
	temperature, p := numberInRange("temperature", in.Temperature, 2)
	if p != nil {
		return none, p
	}
	topP, p := numberInRange("top_p", in.TopP, 1)
	if p != nil {
		return none, p
	}
	stop, p := in.stopSequences()
	if p != nil {
		return none, p
	}
	if in.N != nil && *in.N != 1 {
		return none, invalid("n must be 1, not %d", *in.N)
	}
	return relay.NewSampling(temperature, topP, stop), nil
}

// numberInRange returns the value of a field, which must be from 0 to maximum,
// or -1 if the field is absent.
func numberInRange(field string, v *float64, maximum float64) (float64, *errs.Problem) {
	if v == nil {
		return -1, nil
	}
	if *v < 0 || *v > maximum || math.IsNaN(*v) {
		return 0, invalid("%s must be from 0 to %g, not %g", field, maximum, *v)
	}
	return *v, nil
}

// stopSequences returns the stop sequences, which the caller gives as a string,
// a list or null.
func (in *input) stopSequences() ([]string, *errs.Problem) {
	if absent(in.Stop) {
		return nil, nil
	}
	var list []string
	if json.Unmarshal(in.Stop, &list) != nil {
		var single string
		if json.Unmarshal(in.Stop, &single) != nil {
			return nil, invalid("stop must be a string or a list of strings")
		}
		list = []string{single}
	}
	if len(list) > maxStopSequences {
		return nil, invalid("stop has %d sequences, at most %d are allowed", len(list), maxStopSequences)
	}
	for _, v := range list {
		if v == "" {
			return nil, invalid("stop has an empty sequence")
		}
	}
	return list, nil
}

// setPrompt sets the messages or the prompt of rq, as the endpoint expects.
func (in *input) setPrompt(rq *relay.Request, ep *endpoint) *errs.Problem {
	if ep.chat {
		if p := in.checkMessages(); p != nil {
			return p
		}
		rq.WithMessages(in.Messages, xxhash.Sum64(in.Messages[:min(len(in.Messages), prefixSize)]))
		return nil
	}
	prompt, p := in.prompt()
	if p != nil {
		return p
	}
	rq.WithPrompt(prompt, xxhash.Sum64String(prompt[:min(len(prompt), prefixSize)]))
	return nil
}

func (in *input) checkMessages() *errs.Problem {
	if absent(in.Messages) {
		return invalid("messages is missing")
	}
	var list []struct {
		Role string `json:"role"`
	}
	if json.Unmarshal(in.Messages, &list) != nil {
		return invalid("messages must be a list of objects with a role")
	}
	if len(list) == 0 {
		return invalid("messages is empty")
	}
	for i, m := range list {
		if strings.TrimSpace(m.Role) == "" {
			return invalid("messages[%d].role is missing", i)
		}
	}
	return nil
}

// prompt returns the prompt, which the caller gives as a string or as a list
// with one string.
func (in *input) prompt() (string, *errs.Problem) {
	if absent(in.Prompt) {
		return "", invalid("prompt is missing")
	}
	var single string
	if json.Unmarshal(in.Prompt, &single) == nil {
		return single, nil
	}
	var list []string
	if json.Unmarshal(in.Prompt, &list) != nil || len(list) != 1 {
		return "", invalid("prompt must be a string or a list with one string")
	}
	return list[0], nil
}

func absent(v json.RawMessage) bool { return len(v) == 0 || bytes.Equal(v, []byte("null")) }
