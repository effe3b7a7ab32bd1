package admit

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/pqueue"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// maxPerWorkspace bounds the waiting requests of one workspace in one class.
	maxPerWorkspace = 256
	// rateWeight is the weight of a new observation in the moving average of
	// the time between two pops.
	rateWeight = 0.05
	// maxPassedOver is the number of consecutive pops for which a waiting lower
	// class may be passed over in favor of higher ones. It prevents starvation.
	maxPassedOver = 8
)

// Item is one waiting request. An Item belongs to at most one Queue.
type Item struct {
	id        string
	workspace string
	weight    int
	class     world.Class
	// cost is the expected number of tokens; at least 1.
	cost     int
	deadline time.Time
	arrived  time.Time
	// finishTag is the virtual finish time of weighted fair queueing; it grows
	// with each item of a workspace.
	finishTag float64
	order     uint64
	index     int
}

// NewItem returns a waiting request. The cost is its expected number of tokens;
// weight is the relative share of the workspace.
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

// Arrived returns the time at which the request was passed to Push.
func (i *Item) Arrived() time.Time { return i.arrived }

// Queue holds the requests of one service that wait for an engine. The zero value
// is not usable. A Queue is not safe for concurrent use.
type Queue struct {
	classes [world.NumClasses]classQueue
	// waiting indexes the queued items by id.
	waiting map[string]*Item
	order   uint64
	// passedOver counts, for each class with waiting items, the consecutive
	// pops that served another class.
	passedOver [world.NumClasses]int
	// spacing is the moving average of the time between two pops while items
	// wait; 0 means unknown. It is cleared when the queue becomes empty,
	// because pops then follow the arrivals and not the capacity.
	spacing time.Duration
	popped  time.Time
	// reserve returns the time that an item needs for its own processing.
	reserve func(i *Item) time.Duration
	// estimate returns the expected spacing when none is measured.
	estimate func() time.Duration
	// fifo makes the queue serve in order of arrival and refuse nothing.
	fifo bool
}

// classQueue holds the waiting items of one class.
type classQueue struct {
	queue *pqueue.Queue[*Item]
	// virtualTime is the largest finishTag of the items served so far.
	virtualTime float64
	// lastTag holds the latest finishTag of each workspace that has, or recently
	// had, waiting items.
	lastTag map[string]float64
	count   map[string]int
}

// NewQueue returns an empty queue. The function reserve returns the time to keep
// free before the deadline for processing an item, and estimate returns the
// expected time between two pops when none was measured.
func NewQueue(reserve func(i *Item) time.Duration, estimate func() time.Duration) *Queue {
	q := &Queue{
		waiting:  make(map[string]*Item),
		reserve:  reserve,
		estimate: estimate,
	}
	for c := range q.classes {
		q.classes[c].queue = pqueue.New(less, func(i *Item, index int) { i.index = index })
		q.classes[c].lastTag = make(map[string]float64)
		q.classes[c].count = make(map[string]int)
	}
	return q
}

// SetFIFO makes the queue serve in order of arrival, without classes, fair shares
// and early refusal, as a baseline for comparison. It must be called before the
// first Push.
func (q *Queue) SetFIFO() { q.fifo = true }

// Push queues the item. If the item is refused instead, Push returns an Overload
// problem with the time after which the caller may retry.
func (q *Queue) Push(now time.Time, i *Item) *errs.Problem {
	i.arrived = now
	if q.fifo {
		i.class = 0
		q.insert(&q.classes[0], i)
		return nil
	}
	cq := &q.classes[i.class]
	i.finishTag = max(cq.virtualTime, cq.lastTag[i.workspace]) + float64(i.cost)/float64(i.weight)
	wait := q.expectedWait(i)
	if cq.count[i.workspace] >= maxPerWorkspace {
		return errs.New(errs.Overload, errs.NotRun, "workspace %s has %d requests waiting", i.workspace, maxPerWorkspace).
			WithRetry(wait)
	}
	if now.Add(wait + q.reserve(i)).After(i.deadline) {
		return errs.New(errs.Overload, errs.NotRun, "expected wait %s leaves too little of the deadline", wait.Round(time.Millisecond)).
			WithRetry(wait)
	}
	cq.lastTag[i.workspace] = i.finishTag
	q.insert(cq, i)
	return nil
}

// PutBack queues an item again that was popped but that an engine refused. The
// item keeps its virtual finish time.
func (q *Queue) PutBack(i *Item) {
	q.insert(&q.classes[i.class], i)
}

// Pop removes and returns the next item, or nil if the queue is empty. Higher
// classes go first, but every ninth pop serves a lower class that waits.
func (q *Queue) Pop(now time.Time) *Item {
	c, ok := q.nextClass()
	if !ok {
		return nil
	}
	cq := &q.classes[c]
	i := cq.queue.Pop()
	q.untrack(cq, i)
	cq.virtualTime = max(cq.virtualTime, i.finishTag)
	q.recordPop(now)
	return i
}

// Drop removes the item with the id and reports whether it was waiting.
func (q *Queue) Drop(id string) bool {
	i, ok := q.waiting[id]
	if !ok {
		return false
	}
	cq := &q.classes[i.class]
	cq.queue.Remove(i.index)
	q.untrack(cq, i)
	return true
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.waiting) }

// expectedWait returns the expected wait of an item whose finishTag is set: the
// time to pop all items of higher classes and the preceding items of its own.
func (q *Queue) expectedWait(i *Item) time.Duration {
	ahead := 0
	for c := range i.class {
		ahead += q.classes[c].queue.Len()
	}
	for _, o := range q.classes[i.class].queue.Items() {
		if o.finishTag <= i.finishTag {
			ahead++
		}
	}
	if q.spacing == 0 {
		return time.Duration(ahead) * q.estimate()
	}
	return time.Duration(ahead) * q.spacing
}

// nextClass returns the class to serve next, and false if no item waits.
func (q *Queue) nextClass() (world.Class, bool) {
	first := world.NumClasses
	for c := range world.NumClasses {
		if q.classes[c].queue.Len() == 0 {
			q.passedOver[c] = 0
			continue
		}
		if first == world.NumClasses {
			first = c
			continue
		}
		if q.passedOver[c]++; q.passedOver[c] > maxPassedOver {
			first = c
			break
		}
	}
	if first == world.NumClasses {
		return 0, false
	}
	q.passedOver[first] = 0
	return first, true
}

// recordPop updates the average time between pops. Only pops while further items
// wait count.
func (q *Queue) recordPop(now time.Time) {
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

func (q *Queue) insert(cq *classQueue, i *Item) {
	q.order++
	i.order = q.order
	cq.queue.Push(i)
	cq.count[i.workspace]++
	q.waiting[i.id] = i
}

// untrack removes an item that left the queue from the counts and indexes.
func (q *Queue) untrack(cq *classQueue, i *Item) {
	delete(q.waiting, i.id)
	if cq.count[i.workspace]--; cq.count[i.workspace] > 0 {
		return
	}
	delete(cq.count, i.workspace)
	if cq.lastTag[i.workspace] <= cq.virtualTime {
		delete(cq.lastTag, i.workspace)
	}
}

// less orders items by virtual finish time and then by arrival.
func less(a, b *Item) bool {
	if a.finishTag != b.finishTag {
		return a.finishTag < b.finishTag
	}
	return a.order < b.order
}
