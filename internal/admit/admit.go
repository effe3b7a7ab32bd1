package admit

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/pqueue"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// perWorkspace bounds the waiting requests of one workspace in one class.
	perWorkspace = 256
	// rateWeight is the weight of a new observation in the service rate.
	rateWeight = 0.05
	// lendAfter lets a lower class go before a higher one after so many turns
	// of the higher classes, so that it is never starved.
	lendAfter = 8
)

// Item is one waiting request.
type Item struct {
	id        string
	workspace string
	weight    int
	class     world.Class
	// cost is the expected number of tokens; at least 1.
	cost     int
	deadline time.Time
	arrived  time.Time
	// tag is the virtual finish time; it grows within a workspace.
	tag   float64
	order uint64
	index int
}

// NewItem returns a waiting request with its expected cost in tokens.
func NewItem(id, workspace string, weight int, class world.Class, cost int, deadline time.Time) *Item {
	return &Item{
		id:        id,
		workspace: workspace,
		weight:    max(weight, 1),
		class:     class,
		cost:      max(cost, 1),
		deadline:  deadline,
	}
}

// ID returns the request's id.
func (i *Item) ID() string { return i.id }

// Deadline returns the time by which the request must be complete.
func (i *Item) Deadline() time.Time { return i.deadline }

// Arrived returns the time at which the request was first queued.
func (i *Item) Arrived() time.Time { return i.arrived }

// Queue holds the requests of one service that wait for an engine. The zero
// value is not usable. It is owned by one duty.
type Queue struct {
	classes [world.Classes]lane
	// waiting indexes the queued items by id.
	waiting map[string]*Item
	order   uint64
	// turns counts the pops since each class was last served.
	turns [world.Classes]int
	// spacing is the moving average between two pops while items wait; 0 is
	// unknown. It is cleared when the queue runs empty, because then the pops
	// follow the arrivals and not the capacity.
	spacing time.Duration
	popped  time.Time
	// reserve is the part of the deadline needed for the work itself.
	reserve func(i *Item) time.Duration
	// estimate is the expected spacing while none is measured.
	estimate func() time.Duration
	// plain makes the queue serve in order of arrival and refuse nothing.
	plain bool
}

// lane is the queue of one class.
type lane struct {
	queue *pqueue.Queue[*Item]
	// clock is the virtual time: the tag of the item served last.
	clock float64
	// last holds the latest tag of each workspace with waiting items.
	last  map[string]float64
	count map[string]int
}

// NewQueue returns an empty queue. The function reserve gives the time that an
// item's work itself is expected to take, and estimate the expected time
// between two departures.
func NewQueue(reserve func(i *Item) time.Duration, estimate func() time.Duration) *Queue {
	q := &Queue{
		waiting:  make(map[string]*Item),
		reserve:  reserve,
		estimate: estimate,
	}
	for c := range q.classes {
		q.classes[c].queue = pqueue.New(before, func(i *Item, index int) { i.index = index })
		q.classes[c].last = make(map[string]float64)
		q.classes[c].count = make(map[string]int)
	}
	return q
}

// Plain makes the queue serve in order of arrival, without classes, shares and
// early refusal. It is the baseline that admission is measured against.
func (q *Queue) Plain() { q.plain = true }

// Push queues the item, or returns the refusal: Overload with the time after
// which a retry makes sense.
func (q *Queue) Push(now time.Time, i *Item) *errs.Problem {
	i.arrived = now
	if q.plain {
		i.class = 0
		q.insert(&q.classes[0], i)
		return nil
	}
	l := &q.classes[i.class]
	i.tag = max(l.clock, l.last[i.workspace]) + float64(i.cost)/float64(i.weight)
	wait := q.wait(i)
	if l.count[i.workspace] >= perWorkspace {
		return errs.New(errs.Overload, errs.NotRun, "workspace %s has %d requests waiting", i.workspace, perWorkspace).
			WithRetry(wait)
	}
	if now.Add(wait + q.reserve(i)).After(i.deadline) {
		return errs.New(errs.Overload, errs.NotRun, "expected wait %s leaves too little of the deadline", wait.Round(time.Millisecond)).
			WithRetry(wait)
	}
	l.last[i.workspace] = i.tag
	q.insert(l, i)
	return nil
}

// Return puts back an item that an engine refused; it keeps its place.
func (q *Queue) Return(i *Item) {
	q.insert(&q.classes[i.class], i)
}

// Pop removes and returns the next item, or nil. Higher classes go first,
// except that a lower class gets every ninth turn while it waits.
func (q *Queue) Pop(now time.Time) *Item {
	c, ok := q.next()
	if !ok {
		return nil
	}
	l := &q.classes[c]
	i := l.queue.Pop()
	q.forget(l, i)
	l.clock = max(l.clock, i.tag)
	q.observe(now)
	return i
}

// Drop removes the item with the id and reports whether it was waiting.
func (q *Queue) Drop(id string) bool {
	i, ok := q.waiting[id]
	if !ok {
		return false
	}
	l := &q.classes[i.class]
	l.queue.Remove(i.index)
	q.forget(l, i)
	return true
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.waiting) }

// wait returns the expected wait of an item that has its tag: the departures
// of the higher classes and of the items that go before it in its own.
func (q *Queue) wait(i *Item) time.Duration {
	ahead := 0
	for c := range i.class {
		ahead += q.classes[c].queue.Len()
	}
	for _, o := range q.classes[i.class].queue.Items() {
		if o.tag <= i.tag {
			ahead++
		}
	}
	if q.spacing == 0 {
		return time.Duration(ahead) * q.estimate()
	}
	return time.Duration(ahead) * q.spacing
}

// next returns the class to serve.
func (q *Queue) next() (world.Class, bool) {
	first := world.Classes
	for c := range world.Classes {
		if q.classes[c].queue.Len() == 0 {
			q.turns[c] = 0
			continue
		}
		if first == world.Classes {
			first = c
			continue
		}
		if q.turns[c]++; q.turns[c] > lendAfter {
			first = c
			break
		}
	}
	if first == world.Classes {
		return 0, false
	}
	q.turns[first] = 0
	return first, true
}

// observe updates the average spacing of departures while items wait.
func (q *Queue) observe(now time.Time) {
	gap := now.Sub(q.popped)
	q.popped = now
	if len(q.waiting) == 0 {
		q.spacing = 0
		return
	}
	if q.spacing == 0 {
		q.spacing = max(q.estimate(), 1)
		return
	}
	q.spacing += time.Duration(rateWeight * float64(gap-q.spacing))
}

func (q *Queue) insert(l *lane, i *Item) {
	q.order++
	i.order = q.order
	l.queue.Push(i)
	l.count[i.workspace]++
	q.waiting[i.id] = i
}

// forget clears the bookkeeping of an item that left the queue.
func (q *Queue) forget(l *lane, i *Item) {
	delete(q.waiting, i.id)
	if l.count[i.workspace]--; l.count[i.workspace] > 0 {
		return
	}
	delete(l.count, i.workspace)
	if l.last[i.workspace] <= l.clock {
		delete(l.last, i.workspace)
	}
}

// before orders items by their virtual finish time, then by arrival.
func before(a, b *Item) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.order < b.order
}
