package submit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/config"
)

// maxRecentChanges is the number of earlier change ids in the head. At 11,000
// changes a day 16 of them cover two minutes, longer than an operator's retry. A
// later retry gets a conflict; it never takes effect a second time.
const maxRecentChanges = 16

// maxLines is the number of differences that an Entry describes.
const maxLines = 20

// Entry describes one accepted change.
type Entry struct {
	revision    uint64
	change      string
	author      string
	submittedAt time.Time
	// lines describes the first differences from the previous revision.
	lines []string
	// digest is the digest of the submitted parts; see digestParts.
	digest string
	// replacedKeys lists the store keys of the parts that this change replaced.
	replacedKeys []string
}

// Revision returns the revision that the change made.
func (e *Entry) Revision() uint64 { return e.revision }

// Change returns the change id.
func (e *Entry) Change() string { return e.change }

// Author returns who submitted the change, or "".
func (e *Entry) Author() string { return e.author }

// Time returns when the change was submitted.
func (e *Entry) Time() time.Time { return e.submittedAt }

// Lines returns a description of the first differences from the previous
// revision. The caller must not change the slice.
func (e *Entry) Lines() []string { return e.lines }

// Head is the record under config.HeadKey. The zero value is the head before the
// first change.
type Head struct {
	entry Entry
	parts []config.Part
	// recent holds the latest earlier changes, newest first, with only their
	// revision, change id and digest.
	recent []Entry
}

// Entry returns the change that made this head.
func (h *Head) Entry() *Entry { return &h.entry }

// Revision returns the head's revision, 0 before the first change.
func (h *Head) Revision() uint64 { return h.entry.revision }

// Parts returns the parts sorted by name. The caller must not change the slice.
func (h *Head) Parts() []config.Part { return h.parts }

// Find returns the change with the id if it made this head or is among the
// recent ones, or nil.
func (h *Head) Find(change string) *Entry {
	if change != "" && h.entry.change == change {
		return &h.entry
	}
	for i := range h.recent {
		if h.recent[i].change == change {
			return &h.recent[i]
		}
	}
	return nil
}

// refersTo reports whether the head has a part that the change wrote.
func (h *Head) refersTo(change string) bool {
	return slices.ContainsFunc(h.parts, func(p config.Part) bool { return p.ID() == change })
}

// digestParts returns a digest of the names and values of all parts.
func digestParts(parts map[string][]byte) string {
	h := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		fmt.Fprintf(h, "%s %s\n", name, config.Digest(parts[name]))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// historyKey returns the store key of a history entry. The keys of 100 revisions
// share a prefix, so that the latest entries can be listed without reading the
// whole history.
func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%02d", historyPrefix(revision), revision%100)
}

func historyPrefix(revision uint64) string {
	return fmt.Sprintf("config/history/%08d/", revision/100)
}

type wireEntry struct {
	Revision uint64     `json:"revision"`
	Change   string     `json:"change"`
	Author   string     `json:"author,omitempty"`
	Time     *time.Time `json:"time,omitempty"`
	Lines    []string   `json:"lines,omitempty"`
	Sum      string     `json:"sum,omitempty"`
	Stale    []string   `json:"stale,omitempty"`
}

type wireHead struct {
	wireEntry
	Parts  []config.Part `json:"parts"`
	Recent []wireEntry   `json:"recent,omitempty"`
}

func entryToWire(e *Entry) wireEntry {
	w := wireEntry{
		Revision: e.revision,
		Change:   e.change,
		Author:   e.author,
		Lines:    e.lines,
		Sum:      e.digest,
		Stale:    e.replacedKeys,
	}
	if !e.submittedAt.IsZero() {
		at := e.submittedAt.UTC()
		w.Time = &at
	}
	return w
}

func entryFromWire(w wireEntry) Entry {
	e := Entry{
		revision:     w.Revision,
		change:       w.Change,
		author:       w.Author,
		lines:        w.Lines,
		digest:       w.Sum,
		replacedKeys: w.Stale,
	}
	if w.Time != nil {
		e.submittedAt = *w.Time
	}
	return e
}

// Encode returns the head as stored.
func (h *Head) Encode() ([]byte, error) {
	w := wireHead{
		wireEntry: entryToWire(&h.entry),
		Parts:     h.parts,
	}
	for i := range h.recent {
		w.Recent = append(w.Recent, entryToWire(&h.recent[i]))
	}
	return json.Marshal(w)
}

// DecodeHead decodes a stored head. An empty value is the head before the first
// change.
func DecodeHead(value []byte) (*Head, error) {
	if len(value) == 0 {
		return &Head{}, nil
	}
	var w wireHead
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, errors.Wrap(err, config.HeadKey)
	}
	h := &Head{
		entry: entryFromWire(w.wireEntry),
		parts: w.Parts,
	}
	for _, e := range w.Recent {
		h.recent = append(h.recent, entryFromWire(e))
	}
	return h, nil
}
