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

// prefixSize is the number of leading bytes of a prompt that are hashed for
// cache locality.
const prefixSize = 1024

// maxStops is the number of stop sequences that the OpenAI API allows.
const maxStops = 4

// input is the body of a generation request. Fields that the API defines and
// that have no meaning here are ignored.
type input struct {
	Model      string          `json:"model"`
	Messages   json.RawMessage `json:"messages"`
	Prompt     json.RawMessage `json:"prompt"`
	Stream     bool            `json:"stream"`
	Options    inputOptions    `json:"stream_options"`
	Tokens     *int            `json:"max_tokens"`
	Completion *int            `json:"max_completion_tokens"`
	Seed       *int64          `json:"seed"`
	Stop       json.RawMessage `json:"stop"`
	Heat       *float64        `json:"temperature"`
	TopP       *float64        `json:"top_p"`
	N          *int            `json:"n"`
}

type inputOptions struct {
	Usage bool `json:"include_usage"`
}

// parse decodes a body. The problem names the field at fault.
func parse(body []byte) (*input, *errs.Problem) {
	var in input
	err := json.Unmarshal(body, &in)
	if err == nil {
		return &in, nil
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) && kind.Field != "" {
		return nil, invalid("%s must be %s, not %s", kind.Field, typeName(kind.Type), kind.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return nil, invalid("body is not JSON at byte %d", syntax.Offset)
	}
	return nil, invalid("body must be a JSON object")
}

// typeName returns a Go type's name in JSON's terms.
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

// limit returns the number of tokens to generate.
func (in *input) limit(l Limits) (int, *errs.Problem) {
	field, n := "max_tokens", in.Tokens
	if in.Completion != nil {
		field, n = "max_completion_tokens", in.Completion
	}
	if n == nil {
		return l.tokens, nil
	}
	if *n < 1 || *n > l.most {
		return 0, invalid("%s must be from 1 to %d, not %d", field, l.most, *n)
	}
	return *n, nil
}

// seed returns the caller's seed, or one derived from the request id so that
// all attempts and VMs agree. 53 bits survive any JSON parser.
func (in *input) seed(id string) (uint64, *errs.Problem) {
	if in.Seed == nil {
		return xxhash.Sum64String(id) >> 11, nil
	}
	if *in.Seed < 0 {
		return 0, invalid("seed must not be negative, but is %d", *in.Seed)
	}
	return uint64(*in.Seed), nil
}

// sampling returns the sampling settings.
func (in *input) sampling() (relay.Sampling, *errs.Problem) {
	var none relay.Sampling
	heat, p := between("temperature", in.Heat, 2)
	if p != nil {
		return none, p
	}
	mass, p := between("top_p", in.TopP, 1)
	if p != nil {
		return none, p
	}
	stop, p := in.stops()
	if p != nil {
		return none, p
	}
	if in.N != nil && *in.N != 1 {
		return none, invalid("n must be 1, not %d", *in.N)
	}
	return relay.NewSampling(heat, mass, stop), nil
}

// between returns the value of a field, or -1 when it is absent.
func between(field string, v *float64, most float64) (float64, *errs.Problem) {
	if v == nil {
		return -1, nil
	}
	if *v < 0 || *v > most || math.IsNaN(*v) {
		return 0, invalid("%s must be from 0 to %g, not %g", field, most, *v)
	}
	return *v, nil
}

// stops returns the stop sequences, given as a string, a list or null.
func (in *input) stops() ([]string, *errs.Problem) {
	if absent(in.Stop) {
		return nil, nil
	}
	var list []string
	if json.Unmarshal(in.Stop, &list) != nil {
		var one string
		if json.Unmarshal(in.Stop, &one) != nil {
			return nil, invalid("stop must be a string or a list of strings")
		}
		list = []string{one}
	}
	if len(list) > maxStops {
		return nil, invalid("stop has %d sequences, at most %d are allowed", len(list), maxStops)
	}
	for _, v := range list {
		if v == "" {
			return nil, invalid("stop has an empty sequence")
		}
	}
	return list, nil
}

// put sets the messages or prompt of a request.
func (in *input) put(rq *relay.Request, sh *shape) *errs.Problem {
	if sh.chat {
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

// prompt returns the prompt, given as a string or a list with one string.
func (in *input) prompt() (string, *errs.Problem) {
	if absent(in.Prompt) {
		return "", invalid("prompt is missing")
	}
	var one string
	if json.Unmarshal(in.Prompt, &one) == nil {
		return one, nil
	}
	var list []string
	if json.Unmarshal(in.Prompt, &list) != nil || len(list) != 1 {
		return "", invalid("prompt must be a string or a list with one string")
	}
	return list[0], nil
}

func absent(v json.RawMessage) bool { return len(v) == 0 || bytes.Equal(v, []byte("null")) }
