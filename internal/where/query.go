package where

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/proxy"
)

const (
	// maxCount is the largest number of tokens or pieces. Real prompts and streams are
	// far below it, and sums of a few such numbers don't overflow.
	maxCount = 1 << 30
	// maxWait is the longest timeout of a caller.
	maxWait = 24 * time.Hour
	// maxText is the largest size of a text field in bytes.
	maxText = 4096
)

// keyField is the name of the field that holds the workspace key.
const keyField = "key"

// fields holds the names of the fields of a query.
var fields = []string{"host", "path", "prompt", "output", "session", "part", "position", "wait"}

// FieldError is the error of an invalid field. It contains no value of a field.
type FieldError struct {
	field  string
	reason string
}

// Field returns the name of the field.
func (e *FieldError) Field() string { return e.field }

// Reason returns what is wrong with the field.
func (e *FieldError) Reason() string { return e.reason }

// Error returns the name of the field and the reason.
func (e *FieldError) Error() string { return e.field + ": " + e.reason }

func invalid(field, format string, args ...any) *FieldError {
	return &FieldError{
		field:  field,
		reason: fmt.Sprintf(format, args...),
	}
}

// Check returns the error of the first invalid field of a query, or nil.
func Check(q url.Values) error {
	if _, err := parse(q, ""); err != nil {
		return err
	}
	return nil
}

// CheckKey returns an error for a workspace key that can't be sent.
func CheckKey(key string) error {
	if len(key) > maxText || strings.ContainsFunc(key, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return invalid(keyField, "is not one line of printable ASCII without spaces, of %d bytes at most", maxText)
	}
	return nil
}

// parse returns the request that a query describes. Its error is a FieldError.
func parse(q url.Values, key string) (proxy.RequestSpec, error) {
	s := proxy.RequestSpec{
		Number:  1,
		Host:    q.Get("host"),
		Path:    q.Get("path"),
		Key:     key,
		Session: q.Get("session"),
	}
	if err := checkNames(q); err != nil {
		return s, err
	}
	if s.Host == "" || strings.ContainsAny(s.Host, "/ ") {
		return s, invalid("host", "is not a host name")
	}
	if !strings.HasPrefix(s.Path, "/") || strings.HasPrefix(s.Path, "//") || strings.Contains(s.Path, "?") {
		return s, invalid("path", "does not begin with a single slash, or has a query")
	}
	for _, c := range []struct {
		name  string
		value *int
	}{
		{
			name:  "prompt",
			value: &s.Prompt,
		},
		{
			name:  "output",
			value: &s.Output,
		},
		{
			name:  "position",
			value: &s.Position,
		},
	} {
		n, err := strconv.Atoi(q.Get(c.name))
		if q.Has(c.name) && (err != nil || n < 0 || n > maxCount) {
			return s, invalid(c.name, "is not a whole number from 0 to %d", maxCount)
		}
		*c.value = n
	}
	if q.Has("wait") {
		wait, err := time.ParseDuration(q.Get("wait"))
		if err != nil || wait <= 0 || wait > maxWait {
			return s, invalid("wait", "is not a duration above 0 and at most %s, such as 2s", maxWait)
		}
		s.Wait = wait
	}
	if len(q["part"]) > blame.MaxParts {
		return s, invalid("part", "occurs more than %d times", blame.MaxParts)
	}
	for _, part := range q["part"] {
		if part == "" {
			return s, invalid("part", "is empty")
		}
		s.Parts = append(s.Parts, blame.Name(part))
	}
	return s, nil
}

// checkNames checks the names of the fields, how often they occur and their sizes.
func checkNames(q url.Values) error {
	if q.Has(keyField) {
		return invalid(keyField, "must be a bearer token in the header field Authorization")
	}
	for name := range q {
		if !slices.Contains(fields, name) {
			return invalid("query", "has an unknown field; the fields are %s", strings.Join(fields, ", "))
		}
	}
	for _, name := range fields {
		if len(q[name]) > 1 && name != "part" {
			return invalid(name, "occurs more than once")
		}
		for _, text := range q[name] {
			if len(text) > maxText {
				return invalid(name, "has more than %d bytes", maxText)
			}
		}
	}
	return nil
}

// key returns the workspace key of a request, or "".
func key(r *http.Request) (string, error) {
	list := r.Header.Values("Authorization")
	if len(list) == 0 {
		return "", nil
	}
	scheme, text, ok := strings.Cut(list[0], " ")
	if !ok || len(list) > 1 || !strings.EqualFold(scheme, "Bearer") {
		return "", invalid(keyField, "is not a single bearer token in the header field Authorization")
	}
	text = strings.TrimSpace(text)
	return text, CheckKey(text)
}
