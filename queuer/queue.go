package queuer

import tiller "github.com/carawaytiller/carawaytiller"

// Entry is a queued query.
type Entry struct {
	// Handle identifies the entry. It is chosen by the code that uses the queue and is unique within it.
	Handle   uint64
	Caller   string
	Deadline tiller.Millis
	// Cost is the number of shards that the query asks, at least 1.
	Cost int
}

// Queue is a bounded fair queue. It must not be used concurrently.
type Queue struct {
	limit       int
	totalCost   int
	virtualTime int64
	entries     map[uint64]*waiting
	flows       map[string]*flow
	// byStartTag orders the flows with entries by start tag, byBacklog by descending backlog.
	byStartTag *Heap[*flow]
	byBacklog  *Heap[*flow]
	// idle orders the flows without entries by start tag. They are kept until the virtual time reaches
	// the tag, so that a caller cannot reset its start tag by emptying its flow.
	idle *Heap[*flow]
}

// waiting is a queued entry with its position in the heap of its flow.
type waiting struct {
	entry    Entry
	sequence uint64
	flow     *flow
	position int
}

// New returns an empty queue for at most limit entries.
func New(limit int) *Queue {
	return &Queue{
		limit:      max(limit, 0),
		entries:    make(map[uint64]*waiting),
		flows:      make(map[string]*flow),
		byStartTag: NewHeap(startTagLess, func(f *flow, i int) { f.startPosition = i }),
		byBacklog:  NewHeap(backlogGreater, func(f *flow, i int) { f.backlogPosition = i }),
		idle:       NewHeap(startTagLess, func(f *flow, i int) { f.idlePosition = i }),
	}
}

// Len returns the number of queued entries.
func (q *Queue) Len() int { return len(q.entries) }

// Limit returns the maximum number of queued entries.
func (q *Queue) Limit() int { return q.limit }

// SetLimit changes the maximum number of queued entries. Entries already above the limit are kept.
func (q *Queue) SetLimit(limit int) { q.limit = max(limit, 0) }

// Push adds an entry. When the queue is full, it evicts an entry of the caller with the largest backlog.
// It rejects e instead when that is the caller of e, or when that backlog does not exceed the backlog
// of the caller of e including e. It reports whether the queue was full, and if so returns the entry
// that was evicted or rejected.
func (q *Queue) Push(e Entry) (dropped Entry, full bool) {
	e.Cost = max(e.Cost, 1)
	if len(q.entries) >= q.limit {
		victim, ok := q.victim(e)
		if !ok {
			return e, true
		}
		dropped, full = victim.entry, true
		q.remove(victim)
	}
	q.add(e)
	return dropped, full
}

// Head returns the next entry to serve and the start tag of its flow. It returns false when the queue is empty.
func (q *Queue) Head() (e Entry, tag int64, ok bool) {
	if q.byStartTag.Len() == 0 {
		return Entry{}, 0, false
	}
	f := q.byStartTag.Min()
	return f.entries.Min().entry, f.startTag, true
}

// Pop removes and returns the next entry to serve, with its start tag, and advances the start tag of its
// flow by the cost. It returns false when the queue is empty.
func (q *Queue) Pop() (e Entry, tag int64, ok bool) {
	e, tag, ok = q.Head()
	if !ok {
		return e, tag, false
	}
	f := q.byStartTag.Min()
	f.startTag = tag + int64(e.Cost)
	q.remove(f.entries.Min())
	return e, tag, true
}

// Remove removes an entry without serving it and reports whether it was queued.
func (q *Queue) Remove(handle uint64) bool {
	w, ok := q.entries[handle]
	if ok {
		q.remove(w)
	}
	return ok
}

// CostAhead estimates the cost served before a new entry of the given caller and cost, under the
// assumption that all callers get equal shares.
func (q *Queue) CostAhead(caller string, cost int) int {
	if len(q.entries) == 0 {
		return 0
	}
	own, others := cost, q.byStartTag.Len()
	if f, ok := q.flows[caller]; ok && f.backlog > 0 {
		own += f.backlog
		others--
	}
	return min(q.totalCost, own-cost+own*others)
}

// AdvanceVirtualTime raises the virtual time, which is the start tag of a new flow, to tag and discards
// the idle flows that it has reached. A lower tag has no effect on the virtual time. The tag should be
// the lowest start tag among the served entries that still compete for capacity, or else the tag of the
// entry served last.
func (q *Queue) AdvanceVirtualTime(tag int64) {
	q.virtualTime = max(q.virtualTime, tag)
	for q.idle.Len() > 0 && q.idle.Min().startTag <= q.virtualTime {
		f := q.idle.Remove(0)
		delete(q.flows, f.caller)
	}
}

// victim returns the entry to evict in favour of e; false when e is to be rejected.
func (q *Queue) victim(e Entry) (*waiting, bool) {
	if q.byBacklog.Len() == 0 {
		return nil, false
	}
	largest := q.byBacklog.Min()
	own := e.Cost
	if f, ok := q.flows[e.Caller]; ok {
		own += f.backlog
	}
	if largest.caller == e.Caller || largest.backlog <= own {
		return nil, false
	}
	return largest.entries.Last(), true
}

func (q *Queue) add(e Entry) {
	f, ok := q.flows[e.Caller]
	if !ok {
		f = newFlow(e.Caller, q.virtualTime)
		q.flows[e.Caller] = f
	}
	if f.idlePosition >= 0 {
		q.idle.Remove(f.idlePosition)
	}
	w := &waiting{entry: e, flow: f, sequence: f.nextSequence}
	f.nextSequence++
	q.entries[e.Handle] = w
	f.entries.Push(w)
	q.addCost(f, e.Cost)
	if f.entries.Len() == 1 {
		q.byStartTag.Push(f)
		q.byBacklog.Push(f)
		return
	}
	q.byBacklog.Fix(f.backlogPosition)
}

func (q *Queue) remove(w *waiting) {
	f := w.flow
	delete(q.entries, w.entry.Handle)
	f.entries.Remove(w.position)
	q.addCost(f, -w.entry.Cost)
	if f.entries.Len() > 0 {
		q.byStartTag.Fix(f.startPosition)
		q.byBacklog.Fix(f.backlogPosition)
		return
	}
	q.byStartTag.Remove(f.startPosition)
	q.byBacklog.Remove(f.backlogPosition)
	if f.startTag > q.virtualTime {
		q.idle.Push(f)
		return
	}
	delete(q.flows, f.caller)
}

// addCost adds cost, which may be negative, to the backlog of f and to the total of the queue.
func (q *Queue) addCost(f *flow, cost int) {
	f.backlog += cost
	q.totalCost += cost
}
