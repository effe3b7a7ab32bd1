package lab

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Response is what a caller received for a request.
type Response struct {
	request *Request
	sent    time.Time
	elapsed time.Duration
	text    strings.Builder
	// cursor is the id of the last event. A reconnect sends it to continue
	// after that event.
	cursor string
	// lastText is when the last text arrived, or zero.
	lastText         time.Time
	timeToFirstToken time.Duration
	gaps             []time.Duration
	// resumeGaps holds the gaps during which the caller reconnected.
	resumeGaps []time.Duration
	// disconnected is true from the loss of a connection to the next text.
	disconnected     bool
	connectionErrors int
	finish           string
	done             bool
	status           int
	outcome          string
	// retryAfter is the Retry-After header of the last response, or "".
	retryAfter string
	problem    string

	verdict Verdict
	version string
	tokens  int
	note    string
}

// Verdict returns the classification.
func (r *Response) Verdict() Verdict { return r.verdict }

// Version returns the version whose text matches best.
func (r *Response) Version() string { return r.version }

// Tokens returns the number of tokens received.
func (r *Response) Tokens() int { return r.tokens }

// TimeToFirstToken returns the time from sending to the first token, or 0.
func (r *Response) TimeToFirstToken() time.Duration { return r.timeToFirstToken }

// Gaps returns the times between the arrivals of text. The caller must not
// modify the slice.
func (r *Response) Gaps() []time.Duration { return r.gaps }

// LargestGap returns the largest gap, or 0.
func (r *Response) LargestGap() time.Duration {
	var largest time.Duration
	for _, g := range r.gaps {
		largest = max(largest, g)
	}
	return largest
}

// ConnectionErrors returns the number of connections that failed or were lost.
func (r *Response) ConnectionErrors() int { return r.connectionErrors }

// Status returns the last HTTP status, or 0 if there was no response.
func (r *Response) Status() int { return r.status }

// Outcome returns the outcome stated in a problem document, or "".
func (r *Response) Outcome() string { return r.outcome }

// RetryAfter returns the Retry-After header of the last response, or "".
func (r *Response) RetryAfter() string { return r.retryAfter }

// Elapsed returns the time from sending to the end of the response.
func (r *Response) Elapsed() time.Duration { return r.elapsed }

// Note describes what is wrong with a response that isn't whole, or is "".
func (r *Response) Note() string { return r.note }

// chunkBody decodes a stream chunk or a complete body of the completion and
// chat completion APIs.
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

// addChunk adds a chunk and returns false if it can't be decoded.
func (r *Response) addChunk(data []byte, id string, now time.Time) bool {
	var c chunkBody
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		// A chunk without choices carries only the usage.
		return json.Valid(data)
	}
	choice := c.Choices[0]
	if choice.FinishReason != "" {
		r.finish = choice.FinishReason
	}
	if text := choice.Text + choice.Delta.Content + choice.Message.Content; text != "" {
		r.text.WriteString(text)
		r.recordText(now)
	}
	if id != "" {
		r.cursor = id
	}
	return true
}

// recordText records the arrival time of text.
func (r *Response) recordText(now time.Time) {
	if r.lastText.IsZero() {
		r.timeToFirstToken = now.Sub(r.sent)
	} else {
		gap := now.Sub(r.lastText)
		r.gaps = append(r.gaps, gap)
		if r.disconnected {
			r.resumeGaps = append(r.resumeGaps, gap)
		}
	}
	r.disconnected = false
	r.lastText = now
}

// setProblem records a problem document.
func (r *Response) setProblem(data []byte) {
	var p problemBody
	if json.Unmarshal(data, &p) != nil {
		r.problem = fmt.Sprintf("status %d: %.200s", r.status, data)
		return
	}
	r.outcome = p.Outcome
	r.problem = fmt.Sprintf("%d %s (%s): %s", p.Status, p.Title, p.Outcome, p.Detail)
}

// refused reports whether the request was refused before any text arrived.
func (r *Response) refused() bool {
	rejected := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
	return rejected && r.outcome == "not-run" && r.lastText.IsZero()
}
