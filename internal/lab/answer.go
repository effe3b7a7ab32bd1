package lab

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Answer is what a caller received for a question.
type Answer struct {
	question *Question
	sent     time.Time
	took     time.Duration
	text     strings.Builder
	// cursor is the id of the last event that carried text.
	cursor string
	// last is when the last text came, zero before the first.
	last  time.Time
	first time.Duration
	gaps  []time.Duration
	// resumes holds the gaps during which the connection was replaced.
	resumes []time.Duration
	// broken is true from the loss of a connection to the next text.
	broken  bool
	breaks  int
	finish  string
	done    bool
	status  int
	outcome string
	// retry is the Retry-After header of the last response, or "".
	retry   string
	problem string

	verdict Verdict
	version string
	tokens  int
	note    string
}

// Verdict returns the classification.
func (a *Answer) Verdict() Verdict { return a.verdict }

// Version returns the version whose text fits best.
func (a *Answer) Version() string { return a.version }

// Tokens returns the number of tokens received.
func (a *Answer) Tokens() int { return a.tokens }

// First returns the time from sending to the first token, or 0.
func (a *Answer) First() time.Duration { return a.first }

// Gaps returns the times between tokens. The caller must not change it.
func (a *Answer) Gaps() []time.Duration { return a.gaps }

// Largest returns the largest gap, or 0.
func (a *Answer) Largest() time.Duration {
	var largest time.Duration
	for _, g := range a.gaps {
		largest = max(largest, g)
	}
	return largest
}

// Breaks returns the number of connections that were lost or not made.
func (a *Answer) Breaks() int { return a.breaks }

// Status returns the last HTTP status, or 0 without any response.
func (a *Answer) Status() int { return a.status }

// Outcome returns the outcome that a problem stated, or "".
func (a *Answer) Outcome() string { return a.outcome }

// Retry returns the Retry-After header of the last response, or "".
func (a *Answer) Retry() string { return a.retry }

// Took returns the time from sending to the end of the answer.
func (a *Answer) Took() time.Duration { return a.took }

// Note says what is wrong with an answer that isn't whole, or "".
func (a *Answer) Note() string { return a.note }

// chunkBody is a chunk or a whole body of both APIs.
type chunkBody struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

type problemBody struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Cursor  string `json:"cursor"`
}

// take adds a chunk, and returns false where it can't be read.
func (a *Answer) take(data []byte, id string, now time.Time) bool {
	var c chunkBody
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		// A chunk without choices carries the usage only.
		return json.Valid(data)
	}
	choice := c.Choices[0]
	if choice.FinishReason != "" {
		a.finish = choice.FinishReason
	}
	if text := choice.Text + choice.Delta.Content + choice.Message.Content; text != "" {
		a.text.WriteString(text)
		a.mark(now)
	}
	if id != "" {
		a.cursor = id
	}
	return true
}

// mark notes the arrival of text.
func (a *Answer) mark(now time.Time) {
	if a.last.IsZero() {
		a.first = now.Sub(a.sent)
	} else {
		gap := now.Sub(a.last)
		a.gaps = append(a.gaps, gap)
		if a.broken {
			a.resumes = append(a.resumes, gap)
		}
	}
	a.broken = false
	a.last = now
}

// fail notes a problem document.
func (a *Answer) fail(data []byte) {
	var p problemBody
	if json.Unmarshal(data, &p) != nil {
		a.problem = fmt.Sprintf("status %d: %.200s", a.status, data)
		return
	}
	a.outcome = p.Outcome
	a.problem = fmt.Sprintf("%d %s (%s): %s", p.Status, p.Title, p.Outcome, p.Detail)
}

// refused reports whether the request was turned away without any text.
func (a *Answer) refused() bool {
	turned := a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
	return turned && a.outcome == "not-run" && a.last.IsZero()
}
