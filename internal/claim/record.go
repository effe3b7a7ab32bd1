package claim

import (
	"bytes"
	"crypto/sha256"
	"time"
)

// Digest is a truncated SHA-256 digest. At 128 bits two of 10 million keys
// share a digest with a probability of about 1e-25.
type Digest [16]byte

// Key returns the digest of a workspace's idempotency key. The same key in
// two workspaces names two calls.
func Key(workspace, key string) Digest {
	return digest([]byte(workspace), []byte(key))
}

// Body returns the digest of what the key stands for: method, request URI and
// body.
func Body(method, uri string, body []byte) Digest {
	return digest([]byte(method), []byte(uri), body)
}

func digest(parts ...[]byte) Digest {
	h := sha256.New()
	for _, p := range parts {
		n := len(p)
		h.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		h.Write(p)
	}
	return Digest(h.Sum(nil)[:16])
}

// ID names one claim. It is never used twice.
type ID struct {
	// vm is the incarnation of the holder's process.
	vm uint64
	// number is the call's number in that process.
	number uint64
}

// NewID returns the claim of a call on a VM incarnation.
func NewID(vm, number uint64) ID {
	return ID{
		vm:     vm,
		number: number,
	}
}

// VM returns the incarnation of the holder's process.
func (i ID) VM() uint64 { return i.vm }

// Number returns the call's number in that process.
func (i ID) Number() uint64 { return i.number }

// Answer is an upstream's response, or the part of it that a record keeps.
type Answer struct {
	status int
	// media is the Content-Type.
	media string
	body  []byte
	// header holds the end-to-end header fields. A record keeps none of them
	// but Content-Type and Location.
	header    map[string][]string
	truncated bool
}

// NewAnswer returns a response with its status, Content-Type and body.
func NewAnswer(status int, media string, body []byte) *Answer {
	return &Answer{
		status: status,
		media:  media,
		body:   body,
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

// Media returns the Content-Type.
func (a *Answer) Media() string { return a.media }

// Body returns the body. The caller must not change it.
func (a *Answer) Body() []byte { return a.body }

// Truncated reports whether the record kept no body because of its size.
func (a *Answer) Truncated() bool { return a.truncated }

// kept returns the part of the answer that fits into a record.
func (a *Answer) kept() *Answer {
	if a == nil || len(a.body) <= MaxAnswer {
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
		status:    int(r.GetStatus()),
		media:     r.GetType(),
		body:      r.GetAnswer(),
		truncated: r.GetTruncated(),
	}
	if r.GetLocation() != "" {
		a.header = map[string][]string{"Location": {r.GetLocation()}}
	}
	return a
}

// RecordOf returns a record that carries only the answer, for the message to a
// peer.
func RecordOf(a *Answer) *Record {
	r := &Record{}
	r.settle(State_RAN, a)
	return r
}

func (r *Record) held() ID { return NewID(r.GetVm(), r.GetNumber()) }

func (r *Record) digest() Digest { return Digest(r.GetKey()) }

// valid reports whether the digests have their length; a packed record keeps
// only the start of the body's.
func (r *Record) valid() bool {
	return len(r.GetKey()) == len(Digest{}) && len(r.GetBody()) >= packedBody
}

// same reports whether the record is of a call with the body.
func (r *Record) same(body Digest) bool { return bytes.HasPrefix(body[:], r.GetBody()) }

// stale reports whether the record is a release that is not needed any more.
func (r *Record) stale(now time.Time) bool {
	return r.GetState() == State_NOT_RUN && now.UnixMilli()-r.GetSince() > tombstone.Milliseconds()
}

// final reports whether the record can't change any more.
func (r *Record) final() bool {
	return r.GetState() == State_RAN || r.GetState() == State_UNKNOWN
}

// expired reports whether the record is past its retention.
func (r *Record) expired(now time.Time) bool {
	return now.UnixMilli()-r.GetSince() > Retention.Milliseconds()
}

// overdue reports whether a claim without an outcome is past its deadline.
func (r *Record) overdue(now time.Time) bool {
	return r.GetState() == State_CLAIMED && now.UnixMilli() > r.GetExpires()+Grace.Milliseconds()
}

func (r *Record) settle(s State, a *Answer) {
	r.State = s
	if a == nil {
		return
	}
	r.Status = int32(a.status)
	r.Type = a.media
	r.Location = a.Location()
	r.Answer = a.body
	r.Truncated = a.truncated
}
