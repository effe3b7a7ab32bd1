package lab

import (
	"fmt"
	"slices"
	"strings"
)

// Verdict classifies a response.
type Verdict uint8

// The verdicts. Missing, Repeated and Mixed mean that wrong text was delivered
// and take precedence over Failed.
const (
	// Failed is a response that ended with an error other than a refusal or
	// that did not end before the caller gave up. The text received was
	// correct.
	Failed Verdict = iota
	// Whole is a complete and correct response.
	Whole
	// Missing is a response that lacks a token, or that was declared complete
	// too early.
	Missing
	// Repeated is a response with a token delivered twice.
	Repeated
	// Mixed is a response with text of another generation.
	Mixed
	// Refused is a request that was refused and stated not to have run.
	Refused
	verdictCount
)

var verdictNames = [...]string{
	Failed:   "failed",
	Whole:    "whole",
	Missing:  "missing",
	Repeated: "repeated",
	Mixed:    "mixed",
	Refused:  "refused",
}

// String returns the verdict's name in results.
func (v Verdict) String() string { return verdictNames[v] }

// splitTokens splits a response's text into tokens, each of which begins with a
// space. The result doesn't depend on how the text was split into chunks.
func splitTokens(text string) []string {
	if text == "" {
		return nil
	}
	parts := strings.Split(text, " ")
	tokens := []string{}
	if parts[0] != "" {
		tokens = append(tokens, parts[0])
	}
	for _, p := range parts[1:] {
		tokens = append(tokens, " "+p)
	}
	return tokens
}

// commonPrefix returns the length of the longest common prefix.
func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// compare returns the verdict on the first wrong token in got and a note with
// its position, or Whole if got is a prefix of want.
func compare(got, want []string) (Verdict, string) {
	n := commonPrefix(got, want)
	if n == len(got) {
		return Whole, ""
	}
	note := fmt.Sprintf("token %d is %q", n, got[n])
	switch {
	case slices.Contains(want[:n], got[n]):
		return Repeated, note
	case slices.Contains(want[n:], got[n]):
		return Missing, note
	}
	return Mixed, note
}

// classify sets the verdict, version and note of a response that has ended.
func (r *Response) classify() {
	got := splitTokens(r.text.String())
	r.tokens = len(got)
	var want []string
	var finish string
	best := -1
	for _, version := range r.request.versions {
		texts, reason, err := r.request.expected(version)
		if err != nil {
			r.note = err.Error()
			return
		}
		if n := commonPrefix(got, texts); n > best {
			best = n
			want, finish = texts, reason
			r.version = version
		}
	}
	if r.verdict, r.note = compare(got, want); r.verdict != Whole {
		return
	}
	switch {
	case r.done && len(got) == len(want) && r.finish == finish:
	case r.done:
		r.verdict = Missing
		r.note = fmt.Sprintf("declared complete by %q after %d of %d tokens", r.finish, len(got), len(want))
	case r.refused():
		r.verdict = Refused
		r.note = r.problem
	default:
		r.verdict = Failed
		r.note = r.problem
	}
}
