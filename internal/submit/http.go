package submit

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"clementinelink.example/clementinelink/internal/move"
)

const (
	// maxBody bounds a submitted declaration; 33,000 workspaces are 5 MB.
	maxBody = 16 << 20
	// maxWait bounds a long poll, below usual client timeouts.
	maxWait = 25 * time.Second
	// historyLimit is the number of entries that /history returns by default.
	historyLimit = 50
)

// Sources are the functions from which a Handler answers.
type Sources struct {
	// Now returns the present time.
	Now func() time.Time
	// Head returns the head in force on this VM; never nil.
	Head func() *Head
	// Parts returns the parts in force on this VM.
	Parts func() map[string][]byte
	// Await returns when the revision in force is above after or ctx ends.
	Await func(ctx context.Context, after uint64)
	// Moves returns the moves as this VM sees them.
	Moves func() []move.Status
}

// Handler serves the operators' HTTP interface to the configuration.
type Handler struct {
	submitter *Submitter
	sources   Sources
}

// NewHandler returns a handler for the submitter and sources.
func NewHandler(submitter *Submitter, sources Sources) *Handler {
	return &Handler{
		submitter: submitter,
		sources:   sources,
	}
}

type wireRequest struct {
	Change   string                     `json:"change"`
	Author   string                     `json:"author,omitempty"`
	Revision uint64                     `json:"revision"`
	Parts    map[string]json.RawMessage `json:"parts"`
}

type wireResult struct {
	State    string   `json:"state"`
	Change   string   `json:"change"`
	Revision uint64   `json:"revision"`
	Lines    []string `json:"lines,omitempty"`
}

type wireStatus struct {
	Revision uint64                     `json:"revision"`
	Change   string                     `json:"change,omitempty"`
	Author   string                     `json:"author,omitempty"`
	Moves    []wireMove                 `json:"moves,omitempty"`
	Parts    map[string]json.RawMessage `json:"parts,omitempty"`
}

type wireMove struct {
	Name     string    `json:"name"`
	Service  string    `json:"service"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Deadline time.Time `json:"deadline"`
	State    string    `json:"state"`
	Stage    int       `json:"stage"`
	Share    float64   `json:"share"`
	Reason   string    `json:"reason,omitempty"`
	Evidence []string  `json:"evidence,omitempty"`
}

var statusCodes = [...]int{
	Unknown:     http.StatusBadGateway,
	Accepted:    http.StatusOK,
	Unchanged:   http.StatusOK,
	Conflict:    http.StatusConflict,
	Invalid:     http.StatusUnprocessableEntity,
	Unavailable: http.StatusServiceUnavailable,
}

// Apply serves POST /apply.
func (h *Handler) Apply(w http.ResponseWriter, q *http.Request) {
	var in wireRequest
	d := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, wireResult{
			State: Invalid.String(),
			Lines: []string{err.Error()},
		})
		return
	}
	parts := make(map[string][]byte, len(in.Parts))
	for name, value := range in.Parts {
		parts[name] = value
	}
	r := h.submitter.Apply(q.Context(), h.sources.Now(), NewRequest(in.Change, in.Author, in.Revision, parts))
	reply(w, statusCodes[r.state], wireResult{
		State:    r.state.String(),
		Change:   r.change,
		Revision: r.revision,
		Lines:    r.lines,
	})
}

// Status serves GET /status. With after=REVISION it waits for a later revision
// for up to wait (a duration, at most 25 s); parts=1 adds the declaration.
func (h *Handler) Status(w http.ResponseWriter, q *http.Request) {
	values := q.URL.Query()
	if text := values.Get("after"); text != "" {
		after, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "after: must be a revision", http.StatusBadRequest)
			return
		}
		wait := maxWait
		if d, err := time.ParseDuration(values.Get("wait")); err == nil {
			wait = min(max(d, 0), maxWait)
		}
		ctx, cancel := context.WithTimeout(q.Context(), wait)
		defer cancel()
		h.sources.Await(ctx, after)
	}
	reply(w, http.StatusOK, h.status(values.Get("parts") != ""))
}

func (h *Handler) status(parts bool) wireStatus {
	head := h.sources.Head()
	out := wireStatus{
		Revision: head.Revision(),
		Change:   head.entry.change,
		Author:   head.entry.author,
	}
	for _, s := range h.sources.Moves() {
		out.Moves = append(out.Moves, moveToWire(s))
	}
	if parts {
		out.Parts = make(map[string]json.RawMessage)
		for name, value := range h.sources.Parts() {
			out.Parts[name] = value
		}
	}
	return out
}

func moveToWire(s move.Status) wireMove {
	return wireMove{
		Name:     s.Plan().Name(),
		Service:  s.Service(),
		From:     s.Plan().From(),
		To:       s.Plan().To(),
		Deadline: s.Plan().Deadline().UTC(),
		State:    s.Record().State().String(),
		Stage:    s.Record().Stage(),
		Share:    s.Share(),
		Reason:   s.Reason(),
		Evidence: s.Lines(),
	}
}

// History serves GET /history, newest first; limit=N bounds the entries.
func (h *Handler) History(w http.ResponseWriter, q *http.Request) {
	limit := historyLimit
	if n, err := strconv.Atoi(q.URL.Query().Get("limit")); err == nil && n > 0 {
		limit = min(n, keptHistory)
	}
	list, err := h.submitter.History(q.Context(), limit)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	out := []wireEntry{}
	for _, e := range list {
		entry := entryToWire(e)
		entry.Stale = nil
		out = append(out, entry)
	}
	reply(w, http.StatusOK, out)
}

// reply writes JSON. A failed write means that the operator is gone, and there
// is nobody left to tell.
func reply(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value)
}
