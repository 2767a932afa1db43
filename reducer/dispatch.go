package reducer

import (
	"math"
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/hedger"
	"github.com/carawaytiller/carawaytiller/merger"
	"github.com/carawaytiller/carawaytiller/recorder"
)

const (
	// maxPending is the number of running queries with waiting shards above which no further query leaves the
	// queue. Some are needed so that an upstream which becomes free finds work
	// while others are busy; more of them would only queue outside the fair queue.
	maxPending = 8
	// unmeasuredHedgeMillis is the hedge time of a route without measurements.
	unmeasuredHedgeMillis tiller.Millis = 100
	// warmingShare is the number of queries of which one treats cold and slow upstreams as others, so that they
	// are tried again; below 1 in 100, so that it does not move the 99th percentile.
	warmingShare = 128
)

// dispatch starts queries from the queue while upstreams have room.
func (s *State) dispatch(u *unit) {
	for u.queue.Len() > 0 && mayDispatch(u) {
		e, tag, _ := u.queue.Pop()
		q := s.waiting[e.Handle]
		delete(s.waiting, e.Handle)
		u.lastTag = tag
		longest := max(s.measureOf(q).queries.Median(s.now), 1)
		u.pace = u.pace.withDispatch(s.now, e.Cost, u.queue.Len() > 0, longest)
		s.start(q, tag)
	}
	u.queue.AdvanceVirtualTime(s.virtualTime(u))
	if u.queue.Len() == 0 {
		u.pace.busy = false
	}
}

// mayDispatch says whether an upstream has room, or no upstream is open, so that waiting is of no use.
func mayDispatch(u *unit) bool {
	return u.open == 0 || u.roomy > 0 && u.pending.len() < maxPending
}

// start pins a query to the current snapshot and sends its first attempts.
func (s *State) start(q *query, tag int64) {
	q.phase = phaseSeeking
	if s.now+s.measureOf(q).queries.Median(s.now) >= q.end {
		s.refuse(q, tiller.ReasonQueueTimeout, "no time left to run the query")
		return
	}
	p := s.currentPlan(q)
	if p == nil {
		s.refuse(q, tiller.ReasonNotReady, "the service has no current snapshot")
		return
	}
	q.phase = phaseRunning
	q.unit.running++
	q.running.tag = tag
	q.running.warming = s.draw()%warmingShare == 0
	q.running.probing = s.needsCanary(q)
	q.running.side = s.sideOf(q.unit)
	s.pin(q, p)
	s.placeIdle(q)
}

// pin begins a query on a snapshot.
func (s *State) pin(q *query, p *plan) {
	r := &q.running
	spec := q.unit.service.spec
	needed := q.tiller.NeededCoverage
	if needed < 0 {
		needed = spec.NeededCoverage
	}
	r.plan = p
	r.pinnedAt = s.now
	r.needed = int(math.Ceil(needed*float64(len(p.shards)) - coverageSlack))
	r.waitFor, r.wait = spec.WaitFor, spec.StragglerMillis
	r.limit = q.tiller.Limit
	if r.limit <= 0 {
		r.limit = spec.Limit
	}
	r.hedgeDelay = s.hedgeDelay(s.measureOf(q).attempts)
	r.shards = make([]shard, len(p.shards))
	r.parts = make([]merger.Part, len(p.shards))
	for i := range p.shards {
		r.shards[i].failed = -1
		r.parts[i].Shard = p.shards[i].name
	}
	r.counts = [shardStatuses]int{shardIdle: len(p.shards)}
	s.record(q, recorder.Decision{Kind: recorder.Pinned, Detail: p.snapshot, Count: len(p.shards)})
}

// coverageSlack keeps a rounding error from asking for one more shard.
const coverageSlack = 1e-9

// hedgeDelay returns the time after which a hedged request starts: the 95th percentile.
func (s *State) hedgeDelay(l *hedger.Latency) tiller.Millis {
	if !l.HasEnoughSamples(s.now) {
		return unmeasuredHedgeMillis
	}
	return max(l.P95(s.now), 1) + 1
}

// currentPlan returns the plan of the current snapshot for a query; nil when the document has none.
func (s *State) currentPlan(q *query) *plan {
	u := q.unit
	if u.service == nil {
		return nil
	}
	n, ok := u.service.spec.Snapshot(u.service.spec.Current)
	if !ok {
		return nil
	}
	p, ok := u.plans[n.Name]
	if !ok {
		p = s.newPlan(u, n)
		u.plans[n.Name] = p
	}
	if !q.route.Single {
		return p
	}
	single, ok := u.singles[n.Name]
	if !ok {
		single = p.asSingle()
		u.singles[n.Name] = single
	}
	return single
}

// unpin removes a running query from the tables of its unit.
func (s *State) unpin(q *query) {
	u, r := q.unit, &q.running
	u.running--
	u.pending.remove(q)
	u.stranded.remove(q)
	for i, waits := range r.waits {
		if waits {
			r.plan.members[i].dequeue(q)
		}
	}
	r.waits = nil
	s.touch(u)
}

// handOver takes the queries of a unit that this daemon no longer owns to the new owner:
// those in the queue, and those with a snapshot of which nothing was sent.
func (s *State) handOver(u *unit) {
	for u.queue.Len() > 0 {
		e, _, _ := u.queue.Pop()
		q := s.waiting[e.Handle]
		delete(s.waiting, e.Handle)
		s.handOverQuery(q)
	}
	for _, q := range slices.Clone(u.pending.items) {
		if q.running.flying == 0 && q.running.counts[shardAnswered] == 0 && !q.mayHaveRun {
			s.unpin(q)
			q.running = running{}
			s.handOverQuery(q)
		}
	}
}

func (s *State) handOverQuery(q *query) {
	q.phase = phaseSeeking
	s.disarm(&q.timers[timerRetry])
	s.leaveDigest(q)
	s.route(q)
}
