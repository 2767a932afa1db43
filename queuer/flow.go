package queuer

// flow holds the entries of one caller.
type flow struct {
	caller  string
	start   int64
	backlog int
	next    uint64
	entries *Heap[*waiting]

	startPosition   int
	backlogPosition int
	idlePosition    int
}

func newFlow(caller string, start int64) *flow {
	return &flow{
		caller:  caller,
		start:   start,
		entries: NewHeap(dueBefore, func(w *waiting, i int) { w.position = i }),

		startPosition:   -1,
		backlogPosition: -1,
		idlePosition:    -1,
	}
}

func startsBefore(a, b *flow) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.caller < b.caller
}

func hasMoreWaiting(a, b *flow) bool {
	if a.backlog != b.backlog {
		return a.backlog > b.backlog
	}
	return a.caller < b.caller
}

func dueBefore(a, b *waiting) bool {
	if a.entry.Deadline != b.entry.Deadline {
		return a.entry.Deadline < b.entry.Deadline
	}
	return a.sequence < b.sequence
}
