package claim

import (
	"bytes"
	"crypto/sha256"
	"time"
)

// Digest is a SHA-256 digest truncated to 128 bits. Any two of 10 million keys
// share a digest with a probability of about 1e-25.
type Digest [16]byte

// Key returns the digest of a workspace's idempotency key. The same key in
// another workspace has another digest.
func Key(workspace, key string) Digest {
	return digest([]byte(workspace), []byte(key))
}

// Body returns the digest of the request to which a key belongs: its method,
// request URI and body.
func Body(method, uri string, body []byte) Digest {
	return digest([]byte(method), []byte(uri), body)
}

// digest hashes each part with its length, so that parts can't run into each
// other.
func digest(parts ...[]byte) Digest {
	h := sha256.New()
	for _, p := range parts {
		n := len(p)
		h.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		h.Write(p)
	}
	return Digest(h.Sum(nil)[:16])
}

// ID identifies one claim. It is never used twice.
type ID struct {
	// vm is the incarnation of the process that made the claim.
	vm uint64
	// number is the number of the call in that process.
	number uint64
}

// NewID returns the id of the claim that a call makes in a process.
func NewID(vm, number uint64) ID {
	return ID{
		vm:     vm,
		number: number,
	}
}

// VM returns the incarnation of the process that made the claim.
func (i ID) VM() uint64 { return i.vm }

// Number returns the number of the call in that process.
func (i ID) Number() uint64 { return i.number }

// Answer is an upstream's response, or the part of it that a record stores.
type Answer struct {
	status int
	// contentType is the Content-Type field, or "".
	contentType string
	body        []byte
	// header holds the end-to-end header fields. A record stores only
	// Content-Type and Location.
	header    map[string][]string
	truncated bool
}

// NewAnswer returns a response with its status, Content-Type and body.
func NewAnswer(status int, media string, body []byte) *Answer {
	return &Answer{
		status:      status,
		contentType: media,
		body:        body,
	}
}

// WithHeader returns a copy of a with its other header fields, by canonical
// name.
func (a *Answer) WithHeader(h map[string][]string) *Answer {
	b := *a
	b.header = h
	return &b
}

// Header returns the header fields. The caller must not change it.
func (a *Answer) Header() map[string][]string { return a.header }

// Location returns the Location field, or "".
func (a *Answer) Location() string {
	if l := a.header["Location"]; len(l) > 0 {
		return l[0]
	}
	return ""
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// ContentType returns the Content-Type.
func (a *Answer) ContentType() string { return a.contentType }

// Body returns the body. The caller must not change it.
func (a *Answer) Body() []byte { return a.body }

// Truncated reports whether the body was not stored because of its size.
func (a *Answer) Truncated() bool { return a.truncated }

// storable returns the answer as a record stores it, without a body over
// MaxAnswerBytes.
func (a *Answer) storable() *Answer {
	if a == nil || len(a.body) <= MaxAnswerBytes {
		return a
	}
	b := *a
	b.body = nil
	b.truncated = true
	return &b
}

// AnswerOf returns the stored answer of a record.
func AnswerOf(r *Record) *Answer {
	a := &Answer{
		status:      int(r.GetStatus()),
		contentType: r.GetType(),
		body:        r.GetAnswer(),
		truncated:   r.GetTruncated(),
	}
	if r.GetLocation() != "" {
		a.header = map[string][]string{"Location": {r.GetLocation()}}
	}
	return a
}

// RecordOf returns a record that holds only the answer. It encodes the answer in
// messages to peers.
func RecordOf(a *Answer) *Record {
	r := &Record{}
	r.setOutcome(State_RAN, a)
	return r
}

// holder returns the id of the claim that made the record.
func (r *Record) holder() ID { return NewID(r.GetVm(), r.GetNumber()) }

func (r *Record) digest() Digest { return Digest(r.GetKey()) }

// valid reports whether the digests have the right length. A packed record has
// only the start of the body's digest.
func (r *Record) valid() bool {
	return len(r.GetKey()) == len(Digest{}) && len(r.GetBody()) >= packedBodySize
}

// hasBody reports whether the record's call had a body with the digest.
func (r *Record) hasBody(body Digest) bool { return bytes.HasPrefix(body[:], r.GetBody()) }

// isOldRelease reports whether the record is a release past releaseRetention.
func (r *Record) isOldRelease(now time.Time) bool {
	return r.GetState() == State_NOT_RUN && now.UnixMilli()-r.GetSince() > releaseRetention.Milliseconds()
}

// final reports whether the record can't change any more.
func (r *Record) final() bool {
	return r.GetState() == State_RAN || r.GetState() == State_UNKNOWN
}

// expired reports whether the record is past its retention.
func (r *Record) expired(now time.Time) bool {
	return now.UnixMilli()-r.GetSince() > Retention.Milliseconds()
}

// overdue reports whether the record is a claim without an outcome whose deadline
// and grace period have passed.
func (r *Record) overdue(now time.Time) bool {
	return r.GetState() == State_CLAIMED && now.UnixMilli() > r.GetExpires()+GracePeriod.Milliseconds()
}

func (r *Record) setOutcome(s State, a *Answer) {
	r.State = s
	if a == nil {
		return
	}
	r.Status = int32(a.status)
	r.Type = a.contentType
	r.Location = a.Location()
	r.Answer = a.body
	r.Truncated = a.truncated
}
