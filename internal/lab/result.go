package lab

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// The range of the histograms in microseconds. Longer times count as the
// highest, 10 minutes.
const (
	timeMin    = 1
	timeMax    = 600_000_000
	timeDigits = 3
)

// notesMax is the number of notes on wrong answers that a result keeps.
const notesMax = 20

// Result sums up answers. One duty at a time may use it.
type Result struct {
	counts    [verdicts]int
	delivered uint64
	generated uint64
	// threshold is the gap above which a gap counts as a resume.
	threshold time.Duration
	resume    *hdrhistogram.Histogram
	first     *hdrhistogram.Histogram
	gap       *hdrhistogram.Histogram
	notes     []string
	// audit is nil when no bookings were sent.
	audit *Audit
}

// NewResult returns an empty result. A caller doesn't see a loss behind the
// entry VM, only a pause, so each gap above the threshold counts as a resume,
// and each gap in which the caller reconnected. Resumes faster than the
// threshold aren't seen, so the percentiles err upwards.
func NewResult(threshold time.Duration) *Result {
	return &Result{
		threshold: threshold,
		resume:    hdrhistogram.New(timeMin, timeMax, timeDigits),
		first:     hdrhistogram.New(timeMin, timeMax, timeDigits),
		gap:       hdrhistogram.New(timeMin, timeMax, timeDigits),
	}
}

// Add counts an answer.
func (r *Result) Add(a *Answer) {
	r.counts[a.verdict]++
	r.delivered += uint64(a.tokens)
	if a.first > 0 {
		record(r.first, a.first)
	}
	for _, g := range a.gaps {
		record(r.gap, g)
		if g > r.threshold {
			record(r.resume, g)
		}
	}
	for _, g := range a.resumes {
		if g <= r.threshold {
			record(r.resume, g)
		}
	}
	if a.verdict != Whole && len(r.notes) < notesMax {
		r.notes = append(r.notes, fmt.Sprintf("%s, prompt %.60q: %s", a.verdict, a.question.prompt, a.note))
	}
}

// SetGenerated sets the number of tokens that the engines generated for the
// answers, for the ratio of extra tokens.
func (r *Result) SetGenerated(tokens uint64) { r.generated = tokens }

// SetAudit sets what was found about the bookings.
func (r *Result) SetAudit(a *Audit) { r.audit = a }

// Audit returns what was found about the bookings, or nil.
func (r *Result) Audit() *Audit { return r.audit }

// Count returns the number of answers with a verdict.
func (r *Result) Count(v Verdict) int { return r.counts[v] }

// Requests returns the number of answers.
func (r *Result) Requests() int {
	sum := 0
	for _, n := range r.counts {
		sum += n
	}
	return sum
}

// Delivered returns the number of tokens that the callers received.
func (r *Result) Delivered() uint64 { return r.delivered }

// Notes returns what was wrong with the first answers that weren't whole.
func (r *Result) Notes() []string { return r.notes }

// Extra returns the extra generated tokens per delivered one, or 0 when none
// was generated or delivered.
func (r *Result) Extra() float64 {
	if r.generated == 0 || r.delivered == 0 {
		return 0
	}
	return float64(r.generated)/float64(r.delivered) - 1
}

// spread holds quantiles in milliseconds.
type spread struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

type resultBody struct {
	Requests int     `json:"requests"`
	Whole    int     `json:"whole"`
	Missing  int     `json:"missing"`
	Repeated int     `json:"repeated"`
	Mixed    int     `json:"mixed"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Resumes  int64   `json:"resumes"`
	Resume   spread  `json:"resume_ms"`
	First    spread  `json:"first_ms"`
	Gap      spread  `json:"gap_ms"`
	Extra    float64 `json:"extra_token_ratio"`
	*auditBody
}

// auditBody is the part of a result about bookings.
type auditBody struct {
	Bookings    int `json:"bookings"`
	RanTwice    int `json:"ran_twice"`
	FalseNotRun int `json:"false_not_run"`
	FalseRan    int `json:"false_ran"`
	Unknown     int `json:"unknown"`
	NotRun      int `json:"not_run"`
	Lookups     int `json:"lookups"`
	Wrong       int `json:"failed_lookups"`
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
		Bookings:    a.bookings,
		RanTwice:    a.ranTwice,
		FalseNotRun: a.falseNotRun,
		FalseRan:    a.falseRan,
		Unknown:     a.unknown,
		NotRun:      a.refused,
		Lookups:     a.lookups,
		Wrong:       a.failed,
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
		Resume:   quantiles(r.resume),
		First:    quantiles(r.first),
		Gap:      quantiles(r.gap),
		Extra:    r.Extra(),

		auditBody: r.audit.body(),
	})
	return data, errors.Wrap(err, "encode result")
}

func quantiles(h *hdrhistogram.Histogram) spread {
	return spread{
		P50: float64(h.ValueAtQuantile(50)) / 1000,
		P99: float64(h.ValueAtQuantile(99)) / 1000,
		Max: float64(h.Max()) / 1000,
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Only a value out of range is an error, and the bounds exclude that.
	_ = h.RecordValue(min(max(d.Microseconds(), timeMin), timeMax))
}

// Longest returns the longest time between two tokens that counts as a resume,
// or 0.
func (r *Result) Longest() time.Duration {
	return time.Duration(r.resume.Max()) * time.Microsecond
}

// Text returns the summary as lines.
func (r *Result) Text() string {
	resume, first, gap := quantiles(r.resume), quantiles(r.first), quantiles(r.gap)
	var b strings.Builder
	fmt.Fprintf(&b, "requests %d: %d whole, %d missing, %d repeated, %d mixed, %d refused, %d failed\n",
		r.Requests(), r.counts[Whole], r.counts[Missing], r.counts[Repeated], r.counts[Mixed], r.counts[Refused], r.counts[Failed])
	fmt.Fprintf(&b, "resume latency ms: p50 %.0f, p99 %.0f, max %.0f over %d interruptions\n", resume.P50, resume.P99, resume.Max, r.resume.TotalCount())
	fmt.Fprintf(&b, "first token ms: p50 %.0f, p99 %.0f; token gap ms: p50 %.0f, p99 %.0f\n", first.P50, first.P99, gap.P50, gap.P99)
	fmt.Fprintf(&b, "extra generated tokens: %.2f%% of delivered\n", 100*r.Extra())
	if a := r.audit; a != nil {
		fmt.Fprintf(&b, "bookings %d: %d ran_twice, %d false_not_run, %d false_ran, %d unknown, %d not run; lookups %d: %d failed\n",
			a.bookings, a.ranTwice, a.falseNotRun, a.falseRan, a.unknown, a.refused, a.lookups, a.failed)
	}
	return b.String()
}
