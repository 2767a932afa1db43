package gatherer

import (
	"container/heap"

	tiller "github.com/carawaytiller/carawaytiller"
)

// wakes is a heap of the times at which queries are to be looked at again.
type wakes []wakeup

type wakeup struct {
	at    tiller.Millis
	query uint64
}

func (w wakes) Len() int           { return len(w) }
func (w wakes) Less(i, j int) bool { return w[i].at < w[j].at }
func (w wakes) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }

// Push adds an element for container/heap.
func (w *wakes) Push(x any) { *w = append(*w, x.(wakeup)) }

// Pop removes the last element for container/heap.
func (w *wakes) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}

// NextTimer returns the time at which TimerFired is due; false when no timer is set.
func (s *State) NextTimer() (tiller.Millis, bool) {
	if len(s.wakes) == 0 {
		return 0, false
	}
	return s.wakes[0].at, true
}

// wake looks at every query whose time has come.
func (s *State) wake(now tiller.Millis) {
	for len(s.wakes) > 0 && s.wakes[0].at <= now {
		w := heap.Pop(&s.wakes).(wakeup)
		q, ok := s.queries[w.query]
		if !ok || q.wakeAt != w.at {
			continue
		}
		q.wakeAt = 0
		s.evaluate(now, q)
	}
}

// setTimer sets the time of the next look at a query.
func (s *State) setTimer(now tiller.Millis, q *query) {
	at := q.end
	if q.answerBy > now && q.answerBy < at {
		at = q.answerBy
	}
	for _, sh := range q.shards {
		if sh.status == shardOpen && sh.hedgeAt > 0 && sh.hedgeAt < at {
			at = sh.hedgeAt
		}
	}
	at = max(at, now+1)
	if q.wakeAt == at {
		return
	}
	q.wakeAt = at
	heap.Push(&s.wakes, wakeup{at: at, query: q.id})
}
