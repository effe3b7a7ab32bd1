package cursor

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"hash"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/wire"
)

// macSize is the length in bytes to which the HMAC is truncated. With 16 bytes a
// forgery takes 2^127 tries on average, and the tag in each SSE event is half as
// long as a whole HMAC.
const macSize = 16

// minKeySize is the length in bytes of the shortest accepted key.
const minKeySize = 16

// maxTextSize is the largest accepted length of a cursor's text in bytes, so that a
// long header is rejected before it is decoded. Cursors with ordinary names have
// about 200 characters.
const maxTextSize = 4096

var (
	// ErrMalformed means that a text is not an encoded cursor.
	ErrMalformed = errors.New("cursor is malformed")
	// ErrForged means that no key has signed the cursor.
	ErrForged = errors.New("cursor has no valid signature")
	// ErrKey means that a key is missing, too short or not in hex.
	ErrKey = errors.New("cursor key is invalid")
)

// Codec signs and verifies cursors. It is safe for concurrent use.
type Codec struct {
	// keys has at least one entry. The first key signs; every key verifies.
	keys [][]byte
}

// New returns a codec. The first key signs and every key verifies, so that a
// new key can be accepted everywhere before it signs. Each key has at least 16
// bytes; the error is ErrKey.
func New(keys ...[]byte) (*Codec, error) {
	if len(keys) == 0 {
		return nil, errors.Wrap(ErrKey, "no key is given")
	}
	for i, k := range keys {
		if len(k) < minKeySize {
			return nil, errors.Wrapf(ErrKey, "key %d has %d bytes, at least %d are required", i+1, len(k), minKeySize)
		}
	}
	return &Codec{
		keys: keys,
	}, nil
}

// Parse returns a codec for a comma-separated list of keys in hex, as given in
// the settings. The error is ErrKey.
func Parse(text string) (*Codec, error) {
	var keys [][]byte
	for i, f := range strings.Split(text, ",") {
		k, err := hex.DecodeString(strings.TrimSpace(f))
		if err != nil {
			return nil, errors.Wrapf(ErrKey, "key %d is not in hex", i+1)
		}
		keys = append(keys, k)
	}
	return New(keys...)
}

// Cursor is the content of an event id whose signature is valid.
type Cursor struct {
	request string
	service string
	seed    uint64
	body    uint64
	resume  *relay.Resume
}

// Request returns the id of the request that the response belongs to.
func (c *Cursor) Request() string { return c.request }

// Service returns the name of the model service.
func (c *Cursor) Service() string { return c.service }

// Seed returns the sampling seed.
func (c *Cursor) Seed() uint64 { return c.seed }

// Body returns the hash of the request, which the caller must send again
// unchanged.
func (c *Cursor) Body() uint64 { return c.body }

// Resume returns the position after the tokens that the caller has received.
func (c *Cursor) Resume() *relay.Resume { return c.resume }

// Decode verifies the text of an event id. The error is ErrMalformed or
// ErrForged.
func (c *Codec) Decode(text string) (*Cursor, error) {
	if len(text) > maxTextSize {
		return nil, errors.Wrapf(ErrMalformed, "%d characters", len(text))
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, "not in base64url")
	}
	if len(raw) <= macSize {
		return nil, errors.Wrap(ErrMalformed, "too short")
	}
	tag, content := raw[:macSize], raw[macSize:]
	if !c.validTag(tag, content) {
		return nil, ErrForged
	}
	var m wire.Cursor
	if err := proto.Unmarshal(content, &m); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return &Cursor{
		request: m.GetRequest(),
		service: m.GetService(),
		seed:    m.GetSeed(),
		body:    m.GetBody(),
		resume: relay.NewResume(m.GetVersion(), m.GetEngine(), m.GetAddress(),
			m.GetAttempt(), int(m.GetOffset()), m.GetDigest()),
	}, nil
}

// validTag reports whether one of the keys produces the tag.
func (c *Codec) validTag(tag, content []byte) bool {
	for _, k := range c.keys {
		h := hmac.New(sha256.New, k)
		h.Write(content)
		if hmac.Equal(tag, h.Sum(nil)[:macSize]) {
			return true
		}
	}
	return false
}

// Writer encodes the positions in one response as event ids. It reuses its
// buffers and is not safe for concurrent use.
type Writer struct {
	mac     hash.Hash
	message *wire.Cursor
	// raw holds the tag followed by the encoded message, sum the whole HMAC.
	raw []byte
	sum []byte
}

// Writer returns a writer for the response to a request; body is the hash of
// the request that a reconnecting caller must send again.
func (c *Codec) Writer(request, service string, seed, body uint64) *Writer {
	return &Writer{
		mac: hmac.New(sha256.New, c.keys[0]),
		message: &wire.Cursor{
			Request: request,
			Service: service,
			Seed:    seed,
			Body:    body,
		},
		raw: make([]byte, macSize, 256),
		sum: make([]byte, 0, sha256.Size),
	}
}

// Append appends the event id for a position to dst. It allocates only to grow
// dst or the writer's buffers. It fails if a field is not valid UTF-8.
func (w *Writer) Append(dst []byte, at *relay.Resume) ([]byte, error) {
	m := w.message
	m.Version = at.Version()
	m.Engine = at.Engine()
	m.Address = at.Address()
	m.Attempt = at.Attempt()
	m.Offset = uint32(at.Offset())
	m.Digest = at.Digest()
	raw, err := proto.MarshalOptions{}.MarshalAppend(w.raw[:macSize], m)
	if err != nil {
		return dst, errors.Wrap(err, "encode cursor")
	}
	w.raw = raw
	w.mac.Reset()
	w.mac.Write(raw[macSize:])
	w.sum = w.mac.Sum(w.sum[:0])
	copy(raw[:macSize], w.sum)
	return base64.RawURLEncoding.AppendEncode(dst, raw), nil
}
