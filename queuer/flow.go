package queuer

// flow holds the entries of one caller.
type flow struct {
	caller       string
	startTag     int64
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

func startTagLess(a, b *flow) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.caller < b.caller
}

func backlogGreater(a, b *flow) bool {
	if a.backlog != b.backlog {
		return a.backlog > b.backlog
	}
	return a.caller < b.caller
}

func deadlineLess(a, b *waiting) bool {
	if a.entry.Deadline != b.entry.Deadline {
		return a.entry.Deadline < b.entry.Deadline
	}
	return a.sequence < b.sequence
}
