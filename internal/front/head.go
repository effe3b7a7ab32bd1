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

// owner returns the configuration in force and the workspace of the request's
// bearer token.
func (s *Server) owner(r *http.Request) (*world.Map, *world.Workspace, *errs.Problem) {
	m := s.current()
	if m == nil || m.Revision() == 0 {
		return nil, nil, errs.New(errs.Unavailable, errs.NotRun, "no configuration is in force yet").WithRetry(time.Second)
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if token = strings.TrimSpace(token); !strings.EqualFold(scheme, "Bearer") || token == "" {
		return nil, nil, errs.New(errs.Unauthorized, errs.NotRun, "header Authorization has no bearer token")
	}
	sum := sha256.Sum256([]byte(token))
	ws := m.Owner(hex.EncodeToString(sum[:]))
	if ws == nil {
		return nil, nil, errs.New(errs.Unauthorized, errs.NotRun, "the bearer token belongs to no workspace")
	}
	return m, ws, nil
}

// body reads the whole request body. The read deadline is removed afterwards:
// net/http reads ahead while a handler runs, and cancels the request when a
// deadline passes meanwhile. It resets the deadline itself at the end of a
// body, but not for a request without one.
func (s *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, *errs.Problem) {
	if r.ContentLength > s.limits.body {
		return nil, invalid("body is larger than %d bytes", s.limits.body)
	}
	// Writers without deadlines, such as recorders in tests, have no peer that
	// can stall, so the error is of no interest.
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(s.limits.read))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.body))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, invalid("body is larger than %d bytes", s.limits.body)
		}
		return nil, invalid("body can't be read to its end")
	}
	_ = c.SetReadDeadline(time.Time{})
	return b, nil
}

// allowed returns the time that a request may take: the contract's deadline,
// lowered by the header X-Deadline-Ms.
func allowed(r *http.Request, contract time.Duration) (time.Duration, *errs.Problem) {
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

// class returns the workspace's class, lowered to batch by X-Priority.
func class(r *http.Request, ws *world.Workspace) world.Class {
	if strings.EqualFold(strings.TrimSpace(r.Header.Get("X-Priority")), "batch") {
		return world.Batch
	}
	return ws.Class()
}

// digest identifies a request for a reconnect: the same workspace, path and
// body give the same value.
func digest(ws *world.Workspace, path string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{ws.Name(), path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// trace returns a valid W3C traceparent unchanged, or a new one derived from
// the request id.
func trace(parent, id string) string {
	if validTrace(parent) {
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

// validTrace reports whether p has the form of version 00 with non-zero ids.
func validTrace(p string) bool {
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

// restore puts a body that was read back into the request.
func restore(r *http.Request, body []byte) {
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	r.TransferEncoding = nil
}
