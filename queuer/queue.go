package queuer

import tiller "github.com/carawaytiller/carawaytiller"

// Entry is a waiting query.
type Entry struct {
	// Handle identifies the entry; it is chosen by the user of the queue and unique in it.
	Handle   uint64
	Caller   string
	Deadline tiller.Millis
	// Cost is the number of shards asked, at least 1.
	Cost int
}

// Queue is a bounded queue with fair shares. It changes in place and has one owner.
type Queue struct {
	limit       int
	totalCost   int
	virtualTime int64
	entries     map[uint64]*waiting
	flows       map[string]*flow
	// byStartTag orders the flows with entries by start tag, byBacklog by falling cost of what they have waiting.
	byStartTag *Heap[*flow]
	byBacklog  *Heap[*flow]
	// idle orders the flows without entries by start tag. They are kept until the virtual time reaches
	// the tag, so that a caller gains nothing by letting its flow run empty.
	idle *Heap[*flow]
}

// waiting is an entry with its place in its caller's flow.
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

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return len(q.entries) }

// Limit returns the greatest number of waiting entries.
func (q *Queue) Limit() int { return q.limit }

// SetLimit changes the greatest number of waiting entries. Entries above it stay.
func (q *Queue) SetLimit(limit int) { q.limit = max(limit, 0) }

// Push adds an entry. When the queue is full, an entry of the caller that has most waiting makes room;
// the new entry is refused when that is its own caller. It returns the entry that has lost its
// place, if any: the new one or the one evicted.
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

// Head returns the entry that is to be served next, and the start tag of its flow.
func (q *Queue) Head() (e Entry, tag int64, ok bool) {
	if q.byStartTag.Len() == 0 {
		return Entry{}, 0, false
	}
	f := q.byStartTag.Min()
	return f.entries.Min().entry, f.startTag, true
}

// Pop removes the entry that is to be served next, and returns it with its start tag.
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

// Remove removes an entry that is not to be served, and says whether it was there.
func (q *Queue) Remove(handle uint64) bool {
	w, ok := q.entries[handle]
	if ok {
		q.remove(w)
	}
	return ok
}

// CostAhead returns the cost that is served before a new entry of a caller with the given cost,
// when every caller gets its share.
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

// AdvanceVirtualTime sets the virtual time at which the flow of a caller with nothing waiting starts.
// The user calls it with the least start tag of the entries served that still compete for capacity,
// or with the tag of the last one served. The time does not go back.
func (q *Queue) AdvanceVirtualTime(tag int64) {
	q.virtualTime = max(q.virtualTime, tag)
	for q.idle.Len() > 0 && q.idle.Min().startTag <= q.virtualTime {
		f := q.idle.Remove(0)
		delete(q.flows, f.caller)
	}
}

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

func (q *Queue) addCost(f *flow, cost int) {
	f.backlog += cost
	q.totalCost += cost
}
