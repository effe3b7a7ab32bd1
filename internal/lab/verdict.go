package lab

import (
	"fmt"
	"slices"
	"strings"
)

// Verdict classifies an answer.
type Verdict uint8

// The verdicts. Missing, Repeated and Mixed are faults of what was delivered
// and take precedence over Failed.
const (
	// Failed is an answer that ended with an error other than a refusal, or
	// not before the caller gave up. What came of it was right.
	Failed Verdict = iota
	// Whole is a complete and right answer.
	Whole
	// Missing is an answer with a token left out, or one that was declared
	// complete and isn't.
	Missing
	// Repeated is an answer with a token delivered twice.
	Repeated
	// Mixed is an answer with text of another generation.
	Mixed
	// Refused is a request that was refused as not run.
	Refused
	verdicts
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

// split cuts an answer's text into tokens, which begin with a space. It
// doesn't depend on how the text was cut into chunks.
func split(text string) []string {
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

// common returns the length of the longest common prefix.
func common(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// compare finds the first fault in got, and returns Whole where got is a
// prefix of want, with a note that says where the fault is.
func compare(got, want []string) (Verdict, string) {
	n := common(got, want)
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

// judge sets the verdict, version and note of an answer that has ended.
func (a *Answer) judge() {
	got := split(a.text.String())
	a.tokens = len(got)
	var want []string
	var finish string
	best := -1
	for _, version := range a.question.versions {
		texts, reason, err := a.question.expected(version)
		if err != nil {
			a.note = err.Error()
			return
		}
		if n := common(got, texts); n > best {
			best = n
			want, finish = texts, reason
			a.version = version
		}
	}
	if a.verdict, a.note = compare(got, want); a.verdict != Whole {
		return
	}
	switch {
	case a.done && len(got) == len(want) && a.finish == finish:
	case a.done:
		a.verdict = Missing
		a.note = fmt.Sprintf("declared complete by %q after %d of %d tokens", a.finish, len(got), len(want))
	case a.refused():
		a.verdict = Refused
		a.note = a.problem
	default:
		a.verdict = Failed
		a.note = a.problem
	}
}
