package bound

import (
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// MaxHead is the largest response head in bytes that clients accept, including
// all informational heads before it. net/http accepts 10 MB per connection.
const MaxHead = 64 << 10

// ErrTooLarge means that a peer sent more bytes than the limit.
var ErrTooLarge = errors.New("too many bytes")

// Reader reads from another reader and fails with ErrTooLarge once more than a
// limit has been read. It is not safe for concurrent use.
type Reader struct {
	r     io.Reader
	what  string
	limit int64
	// left is the number of bytes that may still be read, or -1 for no limit.
	left     int64
	exceeded bool
}

// NewReader returns a reader of at most limit bytes of r. what names the bytes in
// errors.
func NewReader(r io.Reader, what string, limit int64) *Reader {
	return &Reader{
		r:     r,
		what:  what,
		limit: limit,
		left:  limit,
	}
}

// Exceeded reports whether a read has failed because of the limit. A parser may
// report such a failure as another error.
func (r *Reader) Exceeded() bool { return r.exceeded }

// Unlimit removes the limit for all later reads.
func (r *Reader) Unlimit() { r.left = -1 }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left < 0 || len(p) == 0 {
		return r.r.Read(p)
	}
	// One more byte than the limit is requested, since the peer may end exactly
	// at the limit.
	n, err := r.r.Read(p[:min(int64(len(p)), r.left+1)])
	if int64(n) > r.left {
		n, r.left, r.exceeded = int(r.left), 0, true
		return n, errors.Wrapf(ErrTooLarge, "%s is over %d", r.what, r.limit)
	}
	r.left -= int64(n)
	return n, err
}

// Transport limits the bodies of another transport's responses. A read beyond the
// limit fails with ErrTooLarge. The other transport must limit the heads.
type Transport struct {
	base    http.RoundTripper
	maxBody int64
}

// NewTransport returns base with response bodies of at most maxBody bytes.
func NewTransport(base http.RoundTripper, maxBody int64) *Transport {
	return &Transport{
		base:    base,
		maxBody: maxBody,
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &body{
		Reader: NewReader(resp.Body, "body", t.maxBody),
		closer: resp.Body,
	}
	return resp, nil
}

// body is a limited response body.
type body struct {
	*Reader
	closer io.Closer
}

func (b *body) Close() error { return b.closer.Close() }

// Budget limits the bytes of unfinished bodies that a process holds. It is safe
// for concurrent use.
type Budget struct {
	mutex sync.Mutex
	// free is between 0 and the size of the budget.
	free int64
}

// NewBudget returns a budget of size bytes.
func NewBudget(size int64) *Budget {
	return &Budget{
		free: size,
	}
}

const (
	// firstBuffer is the initial size of the buffer of ReadAll, which is enough
	// for most responses and is not counted against the budget.
	firstBuffer = 8 << 10
	// minRead is the free space from which on a buffer isn't grown for a read.
	minRead = 512
)

// ReadAll reads r to its end. It fails with ErrTooLarge if there are more than
// limit bytes, or if all unfinished bodies together need more than the budget.
func (b *Budget) ReadAll(r io.Reader, limit int64) ([]byte, error) {
	limited := NewReader(r, "body", limit)
	data := make([]byte, 0, firstBuffer)
	taken := int64(0)
	defer func() { b.release(taken) }()
	for {
		if cap(data)-len(data) < minRead {
			more := int64(cap(data))
			if !b.take(more) {
				return nil, errors.Wrapf(ErrTooLarge, "unfinished bodies are over the budget after %d", len(data))
			}
			taken += more
			data = append(make([]byte, 0, 2*cap(data)), data...)
		}
		n, err := limited.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func (b *Budget) take(n int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if n > b.free {
		return false
	}
	b.free -= n
	return true
}

func (b *Budget) release(n int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.free += n
}
