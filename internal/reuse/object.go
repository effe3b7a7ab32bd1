package reuse

import (
	"io"

	"clementinelink.example/clementinelink/internal/codec"
	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
)

// Members calls each with the name and the value of every member of a JSON object, in
// order. The value is only valid during the call.
func Members(object []byte, each func(name string, value jsontext.Value) error) error {
	d := codec.NewDecoder(object)
	if err := open(d, '{'); err != nil {
		return err
	}
	for d.PeekKind() != '}' {
		token, err := d.ReadToken()
		if err != nil {
			return errors.Wrap(err, "reuse: name")
		}
		name := token.String()
		value, err := d.ReadValue()
		if err != nil {
			return errors.Wrap(err, "reuse: member")
		}
		if err := each(name, value); err != nil {
			return err
		}
	}
	if _, err := d.ReadToken(); err != nil {
		return errors.Wrap(err, "reuse: object")
	}
	if _, err := d.ReadToken(); !errors.Is(err, io.EOF) {
		return errors.Newf("reuse: more than one value")
	}
	return nil
}

// open reads the first token of a value, which must be of a kind.
func open(d *jsontext.Decoder, kind jsontext.Kind) error {
	token, err := d.ReadToken()
	if err != nil {
		return errors.Wrap(err, "reuse")
	}
	if token.Kind() != kind {
		return errors.Newf("reuse: a value of kind %s where %s is expected", token.Kind(), kind)
	}
	return nil
}
