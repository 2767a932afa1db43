package queuer

// flow holds the queued entries of one caller. Each position field is the flow's index in one heap of the
// queue, or -1 when the flow is not in that heap.
type flow struct {
	caller   string
	startTag int64
	// backlog is the total cost of the queued entries.
	backlog      int
	nextSequence uint64
	entries      *Heap[*waiting]

	startPosition   int
	backlogPosition int
	idlePosition    int
}

func newFlow(caller string, start int64) *flow {
	return &flow{
		caller:   caller,
		startTag: start,
		entries:  NewHeap(deadlineLess, func(w *waiting, i int) { w.position = i }),

		startPosition:   -1,
		backlogPosition: -1,
		idlePosition:    -1,
	}
}

// startTagLess orders flows by ascending start tag, then by caller.
func startTagLess(a, b *flow) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.caller < b.caller
}

// backlogGreater orders flows by descending backlog, then by caller.
func backlogGreater(a, b *flow) bool {
	if a.backlog != b.backlog {
		return a.backlog > b.backlog
	}
	return a.caller < b.caller
}

// deadlineLess orders entries by deadline, then by arrival.
func deadlineLess(a, b *waiting) bool {
	if a.entry.Deadline != b.entry.Deadline {
		return a.entry.Deadline < b.entry.Deadline
	}
	return a.sequence < b.sequence
}
