package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/world"
)

// authenticate returns the configuration in force and the workspace that the
// request's bearer token belongs to.
func (s *Server) authenticate(r *http.Request) (*world.Config, *world.Workspace, *errs.Problem) {
	m := s.current()
	if m == nil || m.Revision() == 0 {
		return nil, nil, errs.New(errs.Unavailable, errs.NotRun, "no configuration is in force yet").WithRetry(time.Second)
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if token = strings.TrimSpace(token); !strings.EqualFold(scheme, "Bearer") || token == "" {
		return nil, nil, errs.New(errs.Unauthorized, errs.NotRun, "header Authorization has no bearer token")
	}
	digest := sha256.Sum256([]byte(token))
	ws := m.WorkspaceByKey(hex.EncodeToString(digest[:]))
	if ws == nil {
		return nil, nil, errs.New(errs.Unauthorized, errs.NotRun, "the bearer token belongs to no workspace")
	}
	return m, ws, nil
}

// readBody reads the whole request body. It removes the read deadline
// afterwards, because net/http reads ahead while a handler runs and cancels the
// request if the deadline passes meanwhile. net/http itself resets the deadline
// at the end of a body, but not for a request without one.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *errs.Problem) {
	if r.ContentLength > s.limits.maxBody {
		return nil, invalid("body is larger than %d bytes", s.limits.maxBody)
	}
	// Writers that don't support deadlines, such as test recorders, have no peer
	// that could stall, so the error is ignored.
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(s.limits.readTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.maxBody))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, invalid("body is larger than %d bytes", s.limits.maxBody)
		}
		return nil, invalid("body can't be read to its end")
	}
	_ = c.SetReadDeadline(time.Time{})
	return b, nil
}

// requestTimeout returns the time that a request may take: the contract's
// deadline, or the header X-Deadline-Ms if that is shorter.
func requestTimeout(r *http.Request, contract time.Duration) (time.Duration, *errs.Problem) {
	if contract <= 0 {
		contract = defaultDeadline
	}
	h := r.Header.Get("X-Deadline-Ms")
	if h == "" {
		return contract, nil
	}
	ms, err := strconv.ParseInt(h, 10, 64)
	if err != nil || ms <= 0 {
		return 0, invalid("header X-Deadline-Ms must be a positive number of milliseconds, not %.40q", h)
	}
	if ms >= contract.Milliseconds() {
		return contract, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// requestClass returns the workspace's class, or batch if the header X-Priority
// says so.
func requestClass(r *http.Request, ws *world.Workspace) world.Class {
	if strings.EqualFold(strings.TrimSpace(r.Header.Get("X-Priority")), "batch") {
		return world.Batch
	}
	return ws.Class()
}

// requestDigest returns a hash of the workspace, path and body. A caller that
// reconnects must send a request with the same digest.
func requestDigest(ws *world.Workspace, path string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{ws.Name(), path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// traceparent returns parent if it is a valid W3C traceparent header, or else a
// new one derived from the request id.
func traceparent(parent, id string) string {
	if validTraceparent(parent) {
		return parent
	}
	b := make([]byte, 0, 55)
	b = append(b, "00-"...)
	for seed := range uint64(3) {
		d := xxhash.NewWithSeed(seed)
		_, _ = d.WriteString(id)
		b = hex.AppendEncode(b, d.Sum(nil))
		if seed == 1 {
			b = append(b, '-')
		}
	}
	return string(append(b, "-01"...))
}

// validTraceparent reports whether p is a version 00 traceparent with non-zero
// ids.
func validTraceparent(p string) bool {
	f := strings.Split(p, "-")
	if len(f) != 4 || f[0] != "00" || len(f[1]) != 32 || len(f[2]) != 16 || len(f[3]) != 2 {
		return false
	}
	if p != strings.ToLower(p) || strings.Trim(f[1], "0") == "" || strings.Trim(f[2], "0") == "" {
		return false
	}
	_, err := hex.DecodeString(f[1] + f[2] + f[3])
	return err == nil
}

// restoreBody makes a body that was already read available in r again.
func restoreBody(r *http.Request, body []byte) {
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	r.TransferEncoding = nil
}
