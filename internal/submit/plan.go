package submit

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/config"
	"clementinelink.example/clementinelink/pkg/decl"
)

// changeIDPattern limits change ids to characters that need no escaping in store
// keys.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Request is a submitted change: values that replace parts of the
// configuration.
type Request struct {
	change string
	author string
	// expected is the revision that the operator's change is based on.
	expected uint64
	// parts holds the values of the parts to replace by name; the other parts
	// stay as they are.
	parts map[string][]byte
}

// NewRequest returns a request to replace parts, by name, of the expected
// revision. The client chooses the change id and must reuse it for each retry.
func NewRequest(change, author string, expected uint64, parts map[string][]byte) *Request {
	return &Request{
		change:   change,
		author:   author,
		expected: expected,
		parts:    parts,
	}
}

// Plan holds the writes that apply a valid change.
type Plan struct {
	head *Head
	// writes holds the values of the changed parts by store key.
	writes map[string][]byte
}

// Head returns the head record that results from the change.
func (p *Plan) Head() *Head { return p.head }

// Writes returns the values of the changed parts by store key. The caller must
// not change the map.
func (p *Plan) Writes() map[string][]byte { return p.writes }

// Precheck returns the result of a request that needs no write: its change id
// is invalid or was applied before, or the head has another revision than
// expected. It returns nil if the change is still to be applied.
func Precheck(head *Head, r *Request) *Result {
	if !changeIDPattern.MatchString(r.change) {
		return newResult(Invalid, head, r, fmt.Sprintf("invalid change id %q", r.change))
	}
	if e := head.Find(r.change); e != nil {
		if e.digest != digestParts(r.parts) {
			return newResult(Invalid, head, r, fmt.Sprintf("change id %s was used for other content in revision %d", r.change, e.revision))
		}
		return newResult(Accepted, head, r, fmt.Sprintf("change %s is revision %d", r.change, e.revision)).withRevision(e.revision)
	}
	if r.expected != head.Revision() {
		return newResult(Conflict, head, r, fmt.Sprintf("expected revision %d, but revision %d is in force", r.expected, head.Revision()))
	}
	return nil
}

// NewPlan returns the plan to replace the declaration old by next, which must be
// valid, or nil when no part changes.
func NewPlan(head *Head, r *Request, old, next *decl.Declaration, now time.Time) (*Plan, error) {
	parts, err := decl.Split(next)
	if err != nil {
		return nil, err
	}
	p := &Plan{
		writes: make(map[string][]byte),
		head: &Head{
			entry: Entry{
				revision:    head.Revision() + 1,
				change:      r.change,
				author:      r.author,
				submittedAt: now,
				lines:       truncateLines(decl.Diff(old, next)),
				digest:      digestParts(r.parts),
			},
		},
	}
	current := make(map[string]config.Part, len(head.parts))
	for _, c := range head.parts {
		current[c.Name()] = c
	}
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		p.addPart(current[name], name, parts[name])
	}
	if len(p.writes) == 0 {
		return nil, nil
	}
	p.head.recent = recentEntries(head)
	return p, nil
}

// addPart adds a part to the head. It refers to the current part if the digest
// is equal, and otherwise plans to write the value.
func (p *Plan) addPart(current config.Part, name string, value []byte) {
	part := config.NewPart(name, p.head.entry.change, value)
	if current.Digest() == part.Digest() {
		p.head.parts = append(p.head.parts, current)
		return
	}
	if current.Name() != "" {
		p.head.entry.replacedKeys = append(p.head.entry.replacedKeys, current.Key())
	}
	p.head.parts = append(p.head.parts, part)
	p.writes[part.Key()] = value
}

// recentEntries returns the recent entries for the head that replaces head.
func recentEntries(head *Head) []Entry {
	if head.Revision() == 0 {
		return nil
	}
	list := []Entry{{
		revision: head.entry.revision,
		change:   head.entry.change,
		digest:   head.entry.digest,
	}}
	list = append(list, head.recent...)
	return list[:min(len(list), maxRecentChanges)]
}

// truncateLines returns at most maxLines lines, followed by the number of
// omitted ones.
func truncateLines(lines []string) []string {
	if len(lines) <= maxLines {
		return lines
	}
	omitted := len(lines) - maxLines
	return append(slices.Clone(lines[:maxLines]), fmt.Sprintf("and %d more", omitted))
}

// entryText returns one change as lines of text for operators.
func entryText(e *Entry) string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "revision %d", e.revision)
	if e.author != "" {
		fmt.Fprintf(b, " by %s", e.author)
	}
	if !e.submittedAt.IsZero() {
		fmt.Fprintf(b, " at %s", e.submittedAt.UTC().Format(time.RFC3339))
	}
	fmt.Fprintf(b, " (change %s)", e.change)
	for _, l := range e.lines {
		b.WriteString("\n  " + l)
	}
	return b.String()
}
