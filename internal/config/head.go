package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/world"
)

const (
	// HeadKey is the store's key of the head.
	HeadKey = "config/head"
	// partPrefix begins the store's keys of the parts.
	partPrefix = "config/parts/"
)

// Part names one part of a revision.
type Part struct {
	name string
	// id is the id of the change that stored the value. It is part of the key, so
	// that deleting a replaced value can't delete an equal value that another
	// change has just stored.
	id string
	// digest is the hex SHA-256 digest of the value.
	digest string
}

// NewPart returns the part with the name and the digest of value. id is the id
// of the change that stores the value; it must not contain a slash.
func NewPart(name, id string, value []byte) Part {
	return Part{
		name:   name,
		id:     id,
		digest: Digest(value),
	}
}

// Name returns the part's name within the declaration.
func (p Part) Name() string { return p.name }

// Key returns the key of the part's value, in the store and in requests between
// peers. It contains the digest, so the value of a key never changes.
func (p Part) Key() string { return partPrefix + p.name + "/" + p.id + "/" + p.digest }

// ID returns the id of the change that stored the value.
func (p Part) ID() string { return p.id }

// Digest returns the hex SHA-256 digest of the value.
func (p Part) Digest() string { return p.digest }

// MarshalJSON implements json.Marshaler.
func (p Part) MarshalJSON() ([]byte, error) {
	return json.Marshal(partBody{
		Name:   p.name,
		ID:     p.id,
		Digest: p.digest,
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Part) UnmarshalJSON(raw []byte) error {
	var b partBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return err
	}
	p.name = b.Name
	p.id = b.ID
	p.digest = b.Digest
	return nil
}

// Digest returns the hex SHA-256 digest of a part's value.
func Digest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// matchesDigest reports whether value has the digest that ends a part's key.
func matchesDigest(key string, value []byte) bool {
	return strings.HasSuffix(key, "/"+Digest(value))
}

// Head lists the parts of one revision. It is immutable.
type Head struct {
	revision uint64
	parts    []Part
	// raw is the record as stored, with the fields of package submit that are
	// not decoded here.
	raw []byte
}

// Revision returns the configuration's revision; the first one is 1.
func (h *Head) Revision() uint64 { return h.revision }

// Parts returns the parts sorted by name. The caller must not change the slice.
func (h *Head) Parts() []Part { return h.parts }

// headBody holds the fields of the stored record that a VM needs. Package
// submit writes the record, with further fields about the change.
type headBody struct {
	Revision uint64 `json:"revision"`
	Parts    []Part `json:"parts"`
}

type partBody struct {
	Name   string `json:"name"`
	ID     string `json:"id"`
	Digest string `json:"digest"`
}

// DecodeHead decodes the stored record, which must not be changed afterwards. A
// record without a revision is an error.
func DecodeHead(raw []byte) (*Head, error) {
	var b headBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, errors.Wrap(err, "config: decode head")
	}
	if b.Revision == 0 {
		return nil, errors.New("config: decode head: revision missing or 0")
	}
	return &Head{
		revision: b.Revision,
		parts:    b.Parts,
		raw:      raw,
	}, nil
}

// Snapshot is one adopted revision. It is immutable. The zero value is the
// state before the first revision.
type Snapshot struct {
	// head is nil before the first revision.
	head *Head
	// parts holds the values by key.
	parts  map[string][]byte
	config *world.Config
}

// Revision returns the revision, 0 before the first one.
func (s *Snapshot) Revision() uint64 {
	if s.head == nil {
		return 0
	}
	return s.head.revision
}

// Head returns the head, or nil before the first revision.
func (s *Snapshot) Head() *Head { return s.head }

// Encoded returns the head as stored, for sending to a peer, or nil before the
// first revision. The caller must not change it.
func (s *Snapshot) Encoded() []byte {
	if s.head == nil {
		return nil
	}
	return s.head.raw
}

// PartsByName returns the values of all parts by name. The caller must not
// change the values.
func (s *Snapshot) PartsByName() map[string][]byte {
	if s.head == nil {
		return nil
	}
	values := make(map[string][]byte, len(s.head.parts))
	for _, p := range s.head.parts {
		values[p.name] = s.parts[p.Key()]
	}
	return values
}

// Parts returns the values of the given keys that the revision has, for sending
// to a peer. The caller must not change the values.
func (s *Snapshot) Parts(keys []string) map[string][]byte {
	found := make(map[string][]byte, len(keys))
	for _, key := range keys {
		if value, ok := s.parts[key]; ok {
			found[key] = value
		}
	}
	return found
}

// Config returns the built configuration, or nil before the first revision.
func (s *Snapshot) Config() *world.Config { return s.config }
