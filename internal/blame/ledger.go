package blame

import (
	"container/list"
	"slices"
	"time"
)

const (
	// minCrashes and minSessions are the number of independent crashes and of
	// prompts from which a part is accused. minOtherCrashes is the number of crashes
	// that must remain without any one of the prompts.
	minCrashes      = 3
	minSessions     = 2
	minOtherCrashes = 2
	// minCrashesAlone is the number of independent crashes, and minSpanAlone the
	// time between the first and the last, from which the parts of a single prompt
	// are accused.
	minCrashesAlone = 4
	minSpanAlone    = 3 * time.Second
	// minCrashesWithout is the number of independent crashes without a part from
	// which the part no longer counts as a companion of the accused one.
	minCrashesWithout = 2
	// minSpan is the shortest time from the first loss to the last. Prompts that
	// were on engines killed at the same moment survive elsewhere in that time.
	minSpan = 1500 * time.Millisecond
	// momentWindow is the time in which all losses count as one, because engines in
	// several failure domains may be killed at the same moment.
	momentWindow = 300 * time.Millisecond
	// domainWindow is the time in which all losses in one failure domain count as
	// one, because domains fail as a whole.
	domainWindow = 1500 * time.Millisecond
	// memory is how long losses and survivals are remembered.
	memory = 2 * time.Minute
	// maxSuspects bounds the suspects of a ledger, and maxLosses the losses that are
	// kept of each.
	maxSuspects = 2048
	maxLosses   = 16
	// maxSessions is the number of prompts of a suspect from which another one is no
	// news.
	maxSessions = 6
)

// suspect identifies a prompt part at the engines of one version.
type suspect struct {
	service string
	part    string
	version string
}

// record holds the losses of a suspect.
type record struct {
	suspect suspect
	// losses is ordered by time and not empty.
	losses []Run
}

// Accusation is a set of parts that were lost together repeatedly.
type Accusation struct {
	suspect suspect
	parts   []string
	since   time.Time
}

// Service returns the name of the service.
func (a Accusation) Service() string { return a.suspect.service }

// Version returns the version of the engines that were lost.
func (a Accusation) Version() string { return a.suspect.version }

// Part returns the part whose losses led to the accusation.
func (a Accusation) Part() string { return a.suspect.part }

// Parts returns the accused parts. The caller must not change the slice.
func (a Accusation) Parts() []string { return a.parts }

// Since returns the time of the first loss.
func (a Accusation) Since() time.Time { return a.since }

// Ledger counts the losses of engines by the parts of the prompts. Its memory is
// bounded; the suspects without a loss for the longest time are dropped first.
type Ledger struct {
	// records holds an element of order for each suspect, and order the records
	// from the one with the oldest latest loss.
	records map[suspect]*list.Element
	order   *list.List
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		records: make(map[suspect]*list.Element),
		order:   list.New(),
	}
}

// Len returns the number of suspects.
func (l *Ledger) Len() int { return len(l.records) }

// Add counts the loss of a run's engine and returns the accusations that follow.
func (l *Ledger) Add(now time.Time, lost Run) []Accusation {
	var list []Accusation
	for _, part := range lost.Parts() {
		r := l.record(suspect{
			service: lost.Service(),
			part:    part,
			version: lost.Version(),
		})
		r.add(now, lost)
		if a, ok := r.accusation(); ok {
			list = append(list, a)
		}
	}
	return list
}

// record returns the record of a suspect as the latest one.
func (l *Ledger) record(s suspect) *record {
	if e := l.records[s]; e != nil {
		l.order.MoveToBack(e)
		return e.Value.(*record)
	}
	if l.order.Len() >= maxSuspects {
		oldest := l.order.Remove(l.order.Front()).(*record)
		delete(l.records, oldest.suspect)
	}
	r := &record{
		suspect: s,
	}
	l.records[s] = l.order.PushBack(r)
	return r
}

// Clear forgets the losses of a part at a version up to a time, at which an
// engine survived it.
func (l *Ledger) Clear(service, part, version string, at time.Time) {
	s := suspect{
		service: service,
		part:    part,
		version: version,
	}
	e := l.records[s]
	if e == nil {
		return
	}
	r := e.Value.(*record)
	r.losses = slices.DeleteFunc(r.losses, func(lost Run) bool { return !lost.At().After(at) })
	if len(r.losses) == 0 {
		l.order.Remove(e)
		delete(l.records, s)
	}
}

// forget forgets all losses of a part at a version.
func (l *Ledger) forget(service, part, version string) {
	s := suspect{
		service: service,
		part:    part,
		version: version,
	}
	if e := l.records[s]; e != nil {
		l.order.Remove(e)
		delete(l.records, s)
	}
}

// add adds a loss unless it tells nothing new.
func (r *record) add(now time.Time, lost Run) {
	r.losses = slices.DeleteFunc(r.losses, func(old Run) bool { return now.Sub(old.At()) > memory })
	if !r.news(lost) {
		return
	}
	at, _ := slices.BinarySearchFunc(r.losses, lost, func(a, b Run) int { return a.At().Compare(b.At()) })
	r.losses = slices.Insert(r.losses, at, lost)
	if len(r.losses) > maxLosses {
		// The first one states since when the part is suspect.
		r.losses = slices.Delete(r.losses, 1, 2)
	}
}

// news reports whether a loss adds a crash, a prompt, or a prompt that lacks a
// common part.
func (r *record) news(lost Run) bool {
	own := ofSession(r.losses, lost.Session())
	return !lost.hasAll(r.companions()) || crashes(append(own, lost)) > crashes(own) || crashes(append(slices.Clone(r.losses), lost)) > crashes(r.losses) ||
		len(sessions(r.losses)) < maxSessions && !sessions(r.losses)[lost.Session()] ||
		len(r.losses) > 0 && r.span() < minSpan && lost.At().Sub(r.losses[0].At()) >= minSpan
}

// span returns the time from the first loss to the last.
func (r *record) span() time.Duration { return r.losses[len(r.losses)-1].At().Sub(r.losses[0].At()) }

// accusation returns the accusation that the losses support.
func (r *record) accusation() (Accusation, bool) {
	if len(r.losses) == 0 || !r.repeated() && !r.persistent() {
		return Accusation{}, false
	}
	return Accusation{
		suspect: r.suspect,
		parts:   r.companions(),
		since:   r.losses[0].At(),
	}, true
}

// repeated reports whether engines of several prompts were lost one after the
// other, whichever prompt is left out.
func (r *record) repeated() bool {
	all := sessions(r.losses)
	if len(all) < minSessions || crashes(r.losses) < minCrashes || r.span() < minSpan {
		return false
	}
	for session := range all {
		others := slices.DeleteFunc(slices.Clone(r.losses), func(lost Run) bool { return lost.Session() == session })
		if crashes(others) < minOtherCrashes {
			return false
		}
	}
	return true
}

// persistent reports whether engines were lost so often that one prompt suffices.
func (r *record) persistent() bool {
	return crashes(r.losses) >= minCrashesAlone && r.span() >= minSpanAlone
}

// companions returns the suspect's part and the parts that can't be told apart
// from it: those in all losses, or in repeated losses while the few without them
// may be due to another prompt on the same engine.
func (r *record) companions() []string {
	parts := []string{r.suspect.part}
	var candidates []string
	for _, lost := range r.losses {
		candidates = append(candidates, lost.Parts()...)
	}
	slices.Sort(candidates)
	for _, part := range slices.Compact(candidates) {
		if part == r.suspect.part {
			continue
		}
		with, without := r.split(part)
		refuted := crashes(without) >= minCrashesWithout
		often := len(sessions(with)) >= minSessions || crashes(with) >= minCrashesAlone
		if len(with) == len(r.losses) || often && !refuted {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}

// split returns the losses with a part, and those without it at engines that were
// not lost with the part as well.
func (r *record) split(part string) (with, without []Run) {
	engines := make(map[string]bool)
	for _, lost := range r.losses {
		if lost.has(part) {
			with = append(with, lost)
			engines[lost.Engine()] = true
		}
	}
	for _, lost := range r.losses {
		if !lost.has(part) && !engines[lost.Engine()] {
			without = append(without, lost)
		}
	}
	return with, without
}

// crashes returns the number of independent crashes among losses that are ordered
// by time.
func crashes(losses []Run) int {
	count := 0
	var latest time.Time
	engines := make(map[string]bool)
	domains := make(map[string]time.Time)
	for _, lost := range losses {
		last, ok := domains[lost.Domain()]
		if engines[lost.Engine()] || ok && lost.At().Sub(last) < domainWindow || count > 0 && lost.At().Sub(latest) < momentWindow {
			continue
		}
		engines[lost.Engine()] = true
		domains[lost.Domain()], latest = lost.At(), lost.At()
		count++
	}
	return count
}

// ofSession returns the losses of a prompt.
func ofSession(losses []Run, session string) []Run {
	var own []Run
	for _, lost := range losses {
		if lost.Session() == session {
			own = append(own, lost)
		}
	}
	return own
}

// sessions returns the prompts of the losses.
func sessions(losses []Run) map[string]bool {
	set := make(map[string]bool)
	for _, lost := range losses {
		set[lost.Session()] = true
	}
	return set
}
