package gatherer

import (
	"container/heap"

	tiller "github.com/carawaytiller/carawaytiller"
)

// timerHeap is a min-heap of the times at which queries must be evaluated.
type timerHeap []timer

type timer struct {
	at    tiller.Millis
	query uint64
}

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// NextTimer returns the time at which TimerFired is due, and false if no timer is set.
func (s *State) NextTimer() (tiller.Millis, bool) {
	switch {
	case len(s.timers) == 0:
		return s.backgroundAt, s.backgroundAt > 0
	case s.backgroundAt > 0:
		return min(s.timers[0].at, s.backgroundAt), true
	}
	return s.timers[0].at, true
}

// fireTimers evaluates every query whose timer is due.
func (s *State) fireTimers(now tiller.Millis) {
	for len(s.timers) > 0 && s.timers[0].at <= now {
		due := heap.Pop(&s.timers).(timer)
		q, ok := s.queries[due.query]
		if !ok || q.timerAt != due.at {
			continue
		}
		q.timerAt = 0
		s.evaluate(now, q)
	}
}

// setTimer sets the time of the next evaluation of a query.
func (s *State) setTimer(now tiller.Millis, q *query) {
	at := q.expiresAt
	if q.answerBy > now && q.answerBy < at {
		at = q.answerBy
	}
	if q.partAt > 0 {
		at = min(at, q.partAt)
	}
	for _, sh := range q.shards {
		if sh.status == shardOpen && sh.checkAt > 0 && sh.checkAt < at {
			at = sh.checkAt
		}
	}
	at = max(at, now+1)
	if q.timerAt == at {
		return
	}
	q.timerAt = at
	heap.Push(&s.timers, timer{at: at, query: q.id})
}
