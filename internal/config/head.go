package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/world"
)

const (
	// HeadKey is the store's key of the head.
	HeadKey = "config/head"
	// partPrefix begins the store's keys of the parts.
	partPrefix = "config/parts/"
	// recent is the number of change ids in a head. At 11,000 changes a day,
	// 64 are eight minutes, far longer than a submission takes to be read back.
	recent = 64
	// retention is how long a replaced part stays readable for VMs that are
	// still fetching the revision before, which takes seconds. The head lists
	// the replaced parts, so a long retention makes it large.
	retention = 2 * time.Minute
)

// Part names one part of a revision.
type Part struct {
	name string
	// id is unique to the submission that stored the value, so that deleting a
	// replaced value can't delete one that another submission just stored.
	id string
	// digest is the hex SHA-256 digest of the value.
	digest string
}

// NewPart returns the part of that name and value; id is unique to the
// submission and contains no slash.
func NewPart(name, id string, value []byte) Part {
	return Part{
		name:   name,
		id:     id,
		digest: digest(value),
	}
}

// Name returns the part's name within the declaration.
func (p Part) Name() string { return p.name }

// Key returns the immutable key of the part's value, in the store and between
// peers.
func (p Part) Key() string { return partPrefix + p.name + "/" + p.id + "/" + p.digest }

func digest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// verify reports whether value is the one that key was made for.
func verify(key string, value []byte) bool {
	return strings.HasSuffix(key, "/"+digest(value))
}

// Head describes one revision. It is immutable.
type Head struct {
	revision uint64
	// changes holds the ids of the last changes, newest first.
	changes []string
	parts   []Part
	retired []retired
}

// retired is the key of a replaced part that is still stored.
type retired struct {
	key string
	// at is the submitter's time, which only delays or hastens the deletion.
	at time.Time
}

// Revision returns the configuration's revision; the first one is 1.
func (h *Head) Revision() uint64 { return h.revision }

// Parts returns the parts in order of name. The caller must not change it.
func (h *Head) Parts() []Part { return h.parts }

// Has reports whether the change with this id is one of the last 64.
func (h *Head) Has(change string) bool { return h.since(change) != 0 }

// since returns the revision that the change became part of, 0 if unknown.
func (h *Head) since(change string) uint64 {
	for i, c := range h.changes {
		if c == change {
			return h.revision - uint64(i)
		}
	}
	return 0
}

// expired returns the keys of replaced parts that no VM fetches any more.
func (h *Head) expired(now time.Time) []string {
	var keys []string
	for _, r := range h.retired {
		if now.Sub(r.at) >= retention {
			keys = append(keys, r.key)
		}
	}
	return keys
}

// next returns the head of the following revision, without the deleted keys,
// and the parts whose values are new. Parts of the same name replace the
// earlier ones; a nil value removes the part.
func (h *Head) next(now time.Time, change, id string, values map[string][]byte, deleted map[string]bool) (n *Head, added []Part) {
	n = &Head{
		revision: h.revision + 1,
		changes:  append([]string{change}, h.changes...),
	}
	n.changes = n.changes[:min(len(n.changes), recent)]
	for _, r := range h.retired {
		if !deleted[r.key] {
			n.retired = append(n.retired, r)
		}
	}
	same := make(map[string]bool)
	for _, p := range h.parts {
		value, given := values[p.name]
		if !given || value != nil && digest(value) == p.digest {
			same[p.name] = true
			n.parts = append(n.parts, p)
			continue
		}
		n.retired = append(n.retired, retired{
			key: p.Key(),
			at:  now,
		})
	}
	for name, value := range values {
		if value != nil && !same[name] {
			added = append(added, NewPart(name, id, value))
		}
	}
	n.parts = append(n.parts, added...)
	sort.Slice(n.parts, func(i, j int) bool { return n.parts[i].name < n.parts[j].name })
	return n, added
}

// headBody is the JSON form of a head.
type headBody struct {
	Revision uint64        `json:"revision"`
	Changes  []string      `json:"changes"`
	Parts    []partBody    `json:"parts"`
	Retired  []retiredBody `json:"retired,omitempty"`
}

type partBody struct {
	Name   string `json:"name"`
	ID     string `json:"id"`
	Digest string `json:"digest"`
}

// retiredBody is the JSON form of a replaced part; Time is in Unix seconds.
type retiredBody struct {
	Key  string `json:"key"`
	Time int64  `json:"time"`
}

// Encode returns the head's JSON form.
func (h *Head) Encode() ([]byte, error) {
	b := headBody{
		Revision: h.revision,
		Changes:  h.changes,
	}
	for _, p := range h.parts {
		b.Parts = append(b.Parts, partBody{
			Name:   p.name,
			ID:     p.id,
			Digest: p.digest,
		})
	}
	for _, r := range h.retired {
		b.Retired = append(b.Retired, retiredBody{
			Key:  r.key,
			Time: r.at.Unix(),
		})
	}
	raw, err := json.Marshal(b)
	return raw, errors.Wrap(err, "config: encode head")
}

// DecodeHead reads a head's JSON form.
func DecodeHead(raw []byte) (*Head, error) {
	var b headBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, errors.Wrap(err, "config: decode head")
	}
	if b.Revision == 0 {
		return nil, errors.New("config: head without a revision")
	}
	h := &Head{
		revision: b.Revision,
		changes:  b.Changes,
	}
	for _, p := range b.Parts {
		h.parts = append(h.parts, Part{
			name:   p.Name,
			id:     p.ID,
			digest: p.Digest,
		})
	}
	for _, r := range b.Retired {
		h.retired = append(h.retired, retired{
			key: r.Key,
			at:  time.Unix(r.Time, 0),
		})
	}
	return h, nil
}

// Snapshot is one adopted revision. It is immutable.
type Snapshot struct {
	// head is nil before the first revision.
	head *Head
	// parts holds the values by key.
	parts map[string][]byte
	world *world.Map
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

// Encoded returns the JSON form of the head for a peer, or nil before the
// first revision.
func (s *Snapshot) Encoded() []byte {
	if s.head == nil {
		return nil
	}
	raw, err := s.head.Encode()
	if err != nil {
		return nil
	}
	return raw
}

// Parts returns those of the parts with these keys that the revision has, for
// a peer. The caller must not change the values.
func (s *Snapshot) Parts(keys []string) map[string][]byte {
	found := make(map[string][]byte, len(keys))
	for _, key := range keys {
		if value, ok := s.parts[key]; ok {
			found[key] = value
		}
	}
	return found
}

// Map returns the built configuration, or nil before the first revision.
func (s *Snapshot) Map() *world.Map { return s.world }
