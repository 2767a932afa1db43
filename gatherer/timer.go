package gatherer

import (
	"container/heap"

	tiller "github.com/carawaytiller/carawaytiller"
)

// wakes is a heap of the times at which queries are to be looked at again.
type timerHeap []timer

type timer struct {
	at    tiller.Millis
	query uint64
}

func (w timerHeap) Len() int           { return len(w) }
func (w timerHeap) Less(i, j int) bool { return w[i].at < w[j].at }
func (w timerHeap) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }

// Push adds an element for container/heap.
func (w *timerHeap) Push(x any) { *w = append(*w, x.(timer)) }

// Pop removes the last element for container/heap.
func (w *timerHeap) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}

// NextTimer returns the time at which TimerFired is due; false when no timer is set.
func (s *State) NextTimer() (tiller.Millis, bool) {
	if len(s.timers) == 0 {
		return 0, false
	}
	return s.timers[0].at, true
}

// wake looks at every query whose time has come.
func (s *State) fireTimers(now tiller.Millis) {
	for len(s.timers) > 0 && s.timers[0].at <= now {
		w := heap.Pop(&s.timers).(timer)
		q, ok := s.queries[w.query]
		if !ok || q.timerAt != w.at {
			continue
		}
		q.timerAt = 0
		s.evaluate(now, q)
	}
}

// setTimer sets the time of the next look at a query.
func (s *State) setTimer(now tiller.Millis, q *query) {
	at := q.expiresAt
	if q.answerBy > now && q.answerBy < at {
		at = q.answerBy
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
