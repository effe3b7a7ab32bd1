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
	// maxBodyBytes bounds the body of a request and of an answer. A declaration
	// with 33,000 workspaces takes 5 MB.
	maxBodyBytes = 16 << 20
	// maxLongPoll bounds the wait of a long poll; it is below the usual timeouts
	// of HTTP clients.
	maxLongPoll = 25 * time.Second
	// defaultHistoryLimit is the number of entries that /history returns if the
	// request has no limit.
	defaultHistoryLimit = 50
)

// Sources holds the functions that provide the state of a VM to a Handler. They
// must be safe for concurrent use.
type Sources struct {
	// Now returns the current time.
	Now func() time.Time
	// Head returns the head in force on this VM; never nil.
	Head func() *Head
	// Parts returns the values of the parts in force on this VM by name.
	Parts func() map[string][]byte
	// Await returns when the revision in force is above after or ctx ends.
	Await func(ctx context.Context, after uint64)
	// Moves returns the status of the moves on this VM.
	Moves func() []move.Status
}

// Handler serves the HTTP interface through which operators read and change the
// configuration.
type Handler struct {
	submitter *Submitter
	sources   Sources
}

// NewHandler returns a handler that applies changes with submitter and reports
// the state in sources.
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

// Apply serves POST /apply, which submits a change. The status code reflects the
// State of the result.
func (h *Handler) Apply(w http.ResponseWriter, req *http.Request) {
	var in wireRequest
	d := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		writeJSON(w, http.StatusBadRequest, wireResult{
			State: Invalid.String(),
			Lines: []string{err.Error()},
		})
		return
	}
	parts := make(map[string][]byte, len(in.Parts))
	for name, value := range in.Parts {
		parts[name] = value
	}
	result := h.submitter.Apply(req.Context(), h.sources.Now(), NewRequest(in.Change, in.Author, in.Revision, parts))
	writeJSON(w, statusCodes[result.state], wireResult{
		State:    result.state.String(),
		Change:   result.change,
		Revision: result.revision,
		Lines:    result.lines,
	})
}

// Status serves GET /status. With after=REVISION it first waits for a later
// revision, for up to wait=DURATION (25 s by default and at most); parts=1 adds
// the parts of the declaration.
func (h *Handler) Status(w http.ResponseWriter, req *http.Request) {
	values := req.URL.Query()
	if text := values.Get("after"); text != "" {
		after, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "after: must be a revision", http.StatusBadRequest)
			return
		}
		wait := maxLongPoll
		if d, err := time.ParseDuration(values.Get("wait")); err == nil {
			wait = min(max(d, 0), maxLongPoll)
		}
		ctx, cancel := context.WithTimeout(req.Context(), wait)
		defer cancel()
		h.sources.Await(ctx, after)
	}
	writeJSON(w, http.StatusOK, h.status(values.Get("parts") != ""))
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

func moveToWire(status move.Status) wireMove {
	return wireMove{
		Name:     status.Plan().Name(),
		Service:  status.Service(),
		From:     status.Plan().From(),
		To:       status.Plan().To(),
		Deadline: status.Plan().Deadline().UTC(),
		State:    status.Record().State().String(),
		Stage:    status.Record().Stage(),
		Share:    status.Share(),
		Reason:   status.Reason(),
		Evidence: status.Lines(),
	}
}

// History serves GET /history, the accepted changes, newest first. limit=N bounds
// their number.
func (h *Handler) History(w http.ResponseWriter, req *http.Request) {
	limit := defaultHistoryLimit
	if n, err := strconv.Atoi(req.URL.Query().Get("limit")); err == nil && n > 0 {
		limit = min(n, maxHistory)
	}
	list, err := h.submitter.History(req.Context(), limit)
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
	writeJSON(w, http.StatusOK, out)
}

// writeJSON writes a response with a JSON body. It ignores a failed write, which
// means that the client has closed the connection.
func writeJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value)
}
