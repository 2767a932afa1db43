package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/queuer"
	"github.com/carawaytiller/carawaytiller/recorder"
)

// checkExpectedWait refuses a query that could not be answered before its deadline: the expected wait in
// the queue and the median duration of a query exceed the time left. It reports whether the query may go on.
func (s *State) checkExpectedWait(q *query) bool {
	u := q.unit
	wait := u.queueRate.estimateWait(u.queue.CostAhead(q.key.caller, s.cost(q)))
	if s.now+wait+s.latencyOf(q).queries.Median(s.now) < q.replyBy {
		return true
	}
	s.refuseAfter(q, tiller.ReasonDeadlineTooShort, "the queue is too long for the deadline", wait)
	return false
}

// enqueue puts a query into the queue of its unit.
func (s *State) enqueue(q *query) {
	u := q.unit
	u.queue.AdvanceVirtualTime(s.virtualTime(u))
	q.phase = phaseQueued
	s.queued[q.handle] = q
	s.markDirty(u)
	lost, full := u.queue.Push(queuer.Entry{
		Handle: q.handle, Caller: q.key.caller, Deadline: q.replyBy, Cost: s.cost(q),
	})
	if full {
		s.refuseAfter(s.queued[lost.Handle], tiller.ReasonQueueFull, "", u.queueRate.estimateWait(lost.Cost))
	}
	if q.phase == phaseQueued {
		s.record(q, recorder.Decision{Kind: recorder.Queued, Count: u.queue.Len()})
	}
}

// cost returns the number of shards that a query is sent to.
func (s *State) cost(q *query) int {
	if q.route.Single || q.unit.service == nil {
		return 1
	}
	spec := q.unit.service.spec
	for i := range spec.Snapshots {
		if spec.Snapshots[i].Name == spec.Current {
			return max(len(spec.Snapshots[i].Shards), 1)
		}
	}
	return 1
}

// virtualTime returns the smallest start tag of the running queries with shards that wait for an upstream.
// It is at most the start tag of the query that left the queue last, which is also the value when there is none.
func (s *State) virtualTime(u *unit) int64 {
	if u.pending.len() == 0 {
		return u.lastStartTag
	}
	least := u.lastStartTag
	for _, q := range u.pending.items {
		least = min(least, q.running.startTag)
	}
	return least
}

func (s *State) latencyOf(q *query) *routeLatency { return q.unit.latencyOf(q.route.Name) }
