package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/queuer"
	"github.com/carawaytiller/carawaytiller/recorder"
)

// examineLoad refuses a query that cannot be answered before its deadline with what waits before it.
func (s *State) examineLoad(q *query) bool {
	u := q.unit
	wait := u.pace.wait(u.queue.CostAhead(q.key.caller, s.cost(q)))
	if s.now+wait+s.measureOf(q).queries.Median(s.now) < q.end {
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
	s.waiting[q.handle] = q
	s.touch(u)
	lost, full := u.queue.Push(queuer.Entry{
		Handle: q.handle, Caller: q.key.caller, Deadline: q.end, Cost: s.cost(q),
	})
	if full {
		s.refuseAfter(s.waiting[lost.Handle], tiller.ReasonQueueFull, "", u.pace.wait(lost.Cost))
	}
	if q.phase == phaseQueued {
		s.record(q, recorder.Decision{Kind: recorder.Queued, Count: u.queue.Len()})
	}
}

// cost returns the number of shards that a query asks.
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

// virtualTime returns the start tag of the earliest query that still competes for upstreams,
// or of the last one served when none does.
func (s *State) virtualTime(u *unit) int64 {
	if u.pending.len() == 0 {
		return u.lastTag
	}
	least := u.lastTag
	for _, q := range u.pending.items {
		least = min(least, q.running.tag)
	}
	return least
}

func (s *State) measureOf(q *query) *measure { return q.unit.measure(q.route.Name) }
