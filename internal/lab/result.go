package lab

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// The range of the histograms in microseconds. Longer times are recorded as the
// maximum of 10 minutes.
const (
	minMicros       = 1
	maxMicros       = 600_000_000
	histogramDigits = 3
)

// maxNotes is the number of wrong responses that a result describes.
const maxNotes = 20

// Result sums up responses. Only one goroutine at a time may use it.
type Result struct {
	counts    [verdictCount]int
	delivered uint64
	generated uint64
	// resumeThreshold is the token gap above which a gap counts as a resume.
	resumeThreshold time.Duration
	resume          *hdrhistogram.Histogram
	first           *hdrhistogram.Histogram
	gap             *hdrhistogram.Histogram
	notes           []string
	// audit is nil if no bookings were sent.
	audit *Audit
}

// NewResult returns an empty result. A caller sees a loss behind the entry VM
// only as a pause, so a gap counts as a resume if it is longer than the
// threshold or if the caller reconnected during it. Faster resumes are not
// seen, so the reported percentiles are too high rather than too low.
func NewResult(threshold time.Duration) *Result {
	return &Result{
		resumeThreshold: threshold,
		resume:          hdrhistogram.New(minMicros, maxMicros, histogramDigits),
		first:           hdrhistogram.New(minMicros, maxMicros, histogramDigits),
		gap:             hdrhistogram.New(minMicros, maxMicros, histogramDigits),
	}
}

// Add counts a response.
func (r *Result) Add(response *Response) {
	r.counts[response.verdict]++
	r.delivered += uint64(response.tokens)
	if response.timeToFirstToken > 0 {
		record(r.first, response.timeToFirstToken)
	}
	for _, g := range response.gaps {
		record(r.gap, g)
		if g > r.resumeThreshold {
			record(r.resume, g)
		}
	}
	for _, g := range response.resumeGaps {
		if g <= r.resumeThreshold {
			record(r.resume, g)
		}
	}
	if response.verdict != Whole && len(r.notes) < maxNotes {
		r.notes = append(r.notes, fmt.Sprintf("%s, prompt %.60q: %s", response.verdict, response.request.prompt, response.note))
	}
}

// SetGenerated sets the number of tokens that the engines generated for the
// responses. Extra needs it.
func (r *Result) SetGenerated(tokens uint64) { r.generated = tokens }

// SetAudit sets the audit of the bookings.
func (r *Result) SetAudit(audit *Audit) { r.audit = audit }

// Audit returns the audit of the bookings, or nil.
func (r *Result) Audit() *Audit { return r.audit }

// Count returns the number of responses with a verdict.
func (r *Result) Count(v Verdict) int { return r.counts[v] }

// Requests returns the number of responses with any verdict.
func (r *Result) Requests() int {
	sum := 0
	for _, n := range r.counts {
		sum += n
	}
	return sum
}

// Delivered returns the number of tokens that the callers received.
func (r *Result) Delivered() uint64 { return r.delivered }

// Notes describes the first responses that weren't whole.
func (r *Result) Notes() []string { return r.notes }

// Extra returns the ratio of tokens generated in excess to tokens delivered, or
// 0 if none was generated or delivered.
func (r *Result) Extra() float64 {
	if r.generated == 0 || r.delivered == 0 {
		return 0
	}
	return float64(r.generated)/float64(r.delivered) - 1
}

// percentiles holds percentiles in milliseconds.
type percentiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

type resultBody struct {
	Requests int         `json:"requests"`
	Whole    int         `json:"whole"`
	Missing  int         `json:"missing"`
	Repeated int         `json:"repeated"`
	Mixed    int         `json:"mixed"`
	Refused  int         `json:"refused"`
	Failed   int         `json:"failed"`
	Resumes  int64       `json:"resumes"`
	Resume   percentiles `json:"resume_ms"`
	First    percentiles `json:"first_ms"`
	Gap      percentiles `json:"gap_ms"`
	Extra    float64     `json:"extra_token_ratio"`
	*auditBody
}

// auditBody is the part of a result about bookings.
type auditBody struct {
	Bookings      int `json:"bookings"`
	RanTwice      int `json:"ran_twice"`
	FalseNotRun   int `json:"false_not_run"`
	FalseRan      int `json:"false_ran"`
	Unknown       int `json:"unknown"`
	NotRun        int `json:"not_run"`
	Lookups       int `json:"lookups"`
	FailedLookups int `json:"failed_lookups"`
}

// MarshalJSON returns the counts without the notes.
func (a *Audit) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(a.body())
	return data, errors.Wrap(err, "encode audit")
}

func (a *Audit) body() *auditBody {
	if a == nil {
		return nil
	}
	return &auditBody{
		Bookings:      a.bookings,
		RanTwice:      a.ranTwice,
		FalseNotRun:   a.falseNotRun,
		FalseRan:      a.falseRan,
		Unknown:       a.unknown,
		NotRun:        a.notRun,
		Lookups:       a.lookups,
		FailedLookups: a.failedLookups,
	}
}

// MarshalJSON returns the summary without the notes.
func (r *Result) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(resultBody{
		Requests: r.Requests(),
		Whole:    r.counts[Whole],
		Missing:  r.counts[Missing],
		Repeated: r.counts[Repeated],
		Mixed:    r.counts[Mixed],
		Refused:  r.counts[Refused],
		Failed:   r.counts[Failed],
		Resumes:  r.resume.TotalCount(),
		Resume:   percentilesOf(r.resume),
		First:    percentilesOf(r.first),
		Gap:      percentilesOf(r.gap),
		Extra:    r.Extra(),

		auditBody: r.audit.body(),
	})
	return data, errors.Wrap(err, "encode result")
}

func percentilesOf(h *hdrhistogram.Histogram) percentiles {
	return percentiles{
		P50: float64(h.ValueAtQuantile(50)) / 1000,
		P99: float64(h.ValueAtQuantile(99)) / 1000,
		Max: float64(h.Max()) / 1000,
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The only possible error is a value out of range, which the limits
	// prevent.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// LongestResume returns the longest time between two tokens that counts as a
// resume, or 0.
func (r *Result) LongestResume() time.Duration {
	return time.Duration(r.resume.Max()) * time.Microsecond
}

// Text returns the summary as lines.
func (r *Result) Text() string {
	resume, first, gap := percentilesOf(r.resume), percentilesOf(r.first), percentilesOf(r.gap)
	var b strings.Builder
	fmt.Fprintf(&b, "requests %d: %d whole, %d missing, %d repeated, %d mixed, %d refused, %d failed\n",
		r.Requests(), r.counts[Whole], r.counts[Missing], r.counts[Repeated], r.counts[Mixed], r.counts[Refused], r.counts[Failed])
	fmt.Fprintf(&b, "resume latency ms: p50 %.0f, p99 %.0f, max %.0f over %d interruptions\n", resume.P50, resume.P99, resume.Max, r.resume.TotalCount())
	fmt.Fprintf(&b, "first token ms: p50 %.0f, p99 %.0f; token gap ms: p50 %.0f, p99 %.0f\n", first.P50, first.P99, gap.P50, gap.P99)
	fmt.Fprintf(&b, "extra generated tokens: %.2f%% of delivered\n", 100*r.Extra())
	if a := r.audit; a != nil {
		fmt.Fprintf(&b, "bookings %d: %d ran_twice, %d false_not_run, %d false_ran, %d unknown, %d not run; lookups %d: %d failed\n",
			a.bookings, a.ranTwice, a.falseNotRun, a.falseRan, a.unknown, a.notRun, a.lookups, a.failedLookups)
	}
	return b.String()
}
