package store

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Call describes one HTTP request to the store.
type Call struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
}

// NewCall returns a call without header fields. The arguments must not be
// changed afterwards.
func NewCall(method, path string, query url.Values, body []byte) Call {
	return Call{
		method: method,
		path:   path,
		query:  query,
		body:   body,
	}
}

// Page is one page of a list.
type Page struct {
	entries  []Entry
	revision uint64
	more     bool
}

// NewPage returns a page. revision is the store's revision at which the page was
// read; more is true if further entries follow.
func NewPage(entries []Entry, revision uint64, more bool) Page {
	return Page{
		entries:  entries,
		revision: revision,
		more:     more,
	}
}

// locate sets the positions of a page that the store stated in an era.
func (p Page) locate(era uint64) (Page, error) {
	for i, e := range p.entries {
		located, err := e.locate(era)
		if err != nil {
			return Page{}, err
		}
		p.entries[i] = located
	}
	at, err := position(era, p.revision)
	p.revision = at
	return p, err
}

// Wire encodes the client's calls and decodes the bodies of the answers. Its revisions
// and leases are the store's own, without an era. HTTP
// status codes are not part of it: 200 is success, 412 ErrConflict, 413
// ErrTooLarge, 410 ErrCompacted, 404 ErrExpired, 429 and 503 ErrUnavailable,
// other 5xx ErrUnknown and all others ErrRejected.
type Wire struct {
	Get func(key string) Call
	// List requests the entries with a prefix whose keys come after a key, or
	// the first ones if after is "".
	List   func(prefix, after string) Call
	Watch  func(prefix string, after uint64, wait time.Duration) Call
	Put    func(key string, value []byte, expect uint64, lease string) Call
	Delete func(key string, expect uint64) Call
	Grant  func(ttl time.Duration) Call
	Renew  func(lease string) Call
	Revoke func(lease string) Call

	// Era returns the era that the header of an answer names, if it names one.
	Era func(header http.Header) (era uint64, named bool, err error)

	// Entry, Page, Events, Revision and Lease decode the answers to Get,
	// List, Watch, Put and Grant.
	Entry    func(answer []byte) (Entry, error)
	Page     func(answer []byte) (Page, error)
	Events   func(answer []byte) ([]Event, uint64, error)
	Revision func(answer []byte) (uint64, error)
	Lease    func(answer []byte) (string, error)
}

// defaultWire returns the wire format of the store's own HTTP interface: the
// body of a Put is the raw value, and If-Match holds the expected revision.
func defaultWire() Wire {
	return Wire{
		Get: func(key string) Call { return NewCall(http.MethodGet, "/kv/"+key, nil, nil) },
		List: func(prefix, _ string) Call {
			return NewCall(http.MethodGet, "/kv", url.Values{
				"prefix": {prefix},
			}, nil)
		},
		Watch: func(prefix string, after uint64, wait time.Duration) Call {
			return NewCall(http.MethodGet, "/watch", url.Values{
				"prefix": {prefix},
				"after":  {formatRevision(after)},
				"wait":   {strconv.FormatInt(wait.Milliseconds(), 10)},
			}, nil)
		},
		Put: func(key string, value []byte, expect uint64, lease string) Call {
			c := NewCall(http.MethodPut, "/kv/"+key, nil, value)
			c.header = ifMatch(expect)
			if lease != "" {
				c.header.Set("Lease", lease)
			}
			return c
		},
		Delete: func(key string, expect uint64) Call {
			c := NewCall(http.MethodDelete, "/kv/"+key, nil, nil)
			c.header = ifMatch(expect)
			return c
		},
		Grant: func(ttl time.Duration) Call {
			body := `{"ttl":` + strconv.FormatInt(ttl.Milliseconds(), 10) + `}`
			return NewCall(http.MethodPost, "/leases", nil, []byte(body))
		},
		Renew:    func(lease string) Call { return NewCall(http.MethodPost, "/leases/"+lease+"/renew", nil, nil) },
		Revoke:   func(lease string) Call { return NewCall(http.MethodDelete, "/leases/"+lease, nil, nil) },
		Era:      func(h http.Header) (uint64, bool, error) { return ParseEra(h.Get(eraHeader)) },
		Entry:    decodeEntry,
		Page:     decodePage,
		Events:   decodeEvents,
		Revision: decodeRevision,
		Lease:    decodeLease,
	}
}

// eraHeader is the header field that names the era in answers of the store's own HTTP
// interface.
const eraHeader = "Era"

// ParseEra parses the value of a header field that names an era. An empty value names
// none.
func ParseEra(value string) (era uint64, named bool, err error) {
	if value == "" {
		return 0, false, nil
	}
	if era, err = strconv.ParseUint(value, 10, 64); err != nil {
		return 0, false, errors.Newf("era %.40q is not a number", value)
	}
	return era, true, nil
}

func ifMatch(expect uint64) http.Header {
	h := http.Header{}
	h.Set("If-Match", formatRevision(expect))
	return h
}

func formatRevision(r uint64) string { return strconv.FormatUint(r, 10) }

func decodeEntry(answer []byte) (Entry, error) {
	var b entryBody
	if err := json.Unmarshal(answer, &b); err != nil {
		return Entry{}, errors.Wrap(err, "entry")
	}
	return b.entry(), nil
}

func decodePage(answer []byte) (Page, error) {
	var b struct {
		Entries  []entryBody `json:"entries"`
		Revision uint64      `json:"revision"`
	}
	if err := json.Unmarshal(answer, &b); err != nil {
		return Page{}, errors.Wrap(err, "list")
	}
	found := make([]Entry, 0, len(b.Entries))
	for _, e := range b.Entries {
		found = append(found, e.entry())
	}
	return NewPage(found, b.Revision, false), nil
}

func decodeEvents(answer []byte) ([]Event, uint64, error) {
	var b struct {
		Events   []eventBody `json:"events"`
		Revision uint64      `json:"revision"`
	}
	if err := json.Unmarshal(answer, &b); err != nil {
		return nil, 0, errors.Wrap(err, "events")
	}
	found := make([]Event, 0, len(b.Events))
	for _, e := range b.Events {
		found = append(found, NewEvent(e.entry(), e.Deleted))
	}
	return found, b.Revision, nil
}

func decodeRevision(answer []byte) (uint64, error) {
	e, err := decodeEntry(answer)
	return e.Revision(), err
}

func decodeLease(answer []byte) (string, error) {
	var b struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(answer, &b); err != nil {
		return "", errors.Wrap(err, "lease")
	}
	return b.ID, nil
}
