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
	// maxPending is the number of running queries with waiting shards at which no further query leaves the
	// queue. Some are needed so that an upstream that becomes free finds work while others are busy.
	// More would only wait outside the fair queue.
	maxPending = 8
	// defaultHedgeMillis is the hedge delay of a route without enough measurements.
	defaultHedgeMillis tiller.Millis = 100
	// explorationInterval is the average number of queries per exploring query. An exploring query does not
	// avoid cold and slow upstreams, so that these are tried again. Its share is below 1 in 100, so that it
	// does not affect the 99th percentile.
	explorationInterval = 128
)

// dispatch starts queries from the queue while upstreams admit requests.
func (s *State) dispatch(u *unit) {
	for u.queue.Len() > 0 && mayDispatch(u) {
		e, tag, _ := u.queue.Pop()
		q := s.queued[e.Handle]
		delete(s.queued, e.Handle)
		u.lastStartTag = tag
		longest := max(s.latencyOf(q).queries.Median(s.now), 1)
		u.queueRate = u.queueRate.withDispatch(s.now, e.Cost, u.queue.Len() > 0, longest)
		s.startQuery(q, tag)
	}
	u.queue.AdvanceVirtualTime(s.virtualTime(u))
	if u.queue.Len() == 0 {
		u.queueRate.busy = false
	}
}

// mayDispatch reports whether a query may leave the queue: an upstream admits requests and fewer than
// maxPending queries wait for one, or no upstream is open, so that waiting would be useless.
func mayDispatch(u *unit) bool {
	return u.openMembers == 0 || u.membersWithRoom > 0 && u.pending.len() < maxPending
}

// startQuery pins a query to the current snapshot and sends its first attempts.
func (s *State) startQuery(q *query, tag int64) {
	q.phase = phaseRouting
	if s.now+s.latencyOf(q).queries.Median(s.now) >= q.replyBy {
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
	q.running.startTag = tag
	q.running.exploring = s.nextRandom()%explorationInterval == 0
	q.running.canaryOnly = s.needsCanary(q)
	q.running.version = s.chooseVersion(q.unit)
	s.pin(q, p)
	s.placeIdle(q)
}

// pin pins a query to a snapshot and initialises its running state.
func (s *State) pin(q *query, p *plan) {
	r := &q.running
	spec := q.unit.service.spec
	needed := q.request.NeededCoverage
	if needed < 0 {
		needed = spec.NeededCoverage
	}
	r.plan = p
	r.pinnedAt = s.now
	r.needed = int(math.Ceil(needed*float64(len(p.shards)) - coverageEpsilon))
	r.waitFor, r.stragglerWait = spec.WaitFor, spec.StragglerMillis
	r.itemLimit = q.request.Limit
	if r.itemLimit <= 0 {
		r.itemLimit = spec.Limit
	}
	r.hedgeDelay = s.hedgeDelay(s.latencyOf(q).attempts)
	r.shards = make([]shard, len(p.shards))
	r.parts = make([]merger.Part, len(p.shards))
	for i := range p.shards {
		r.shards[i].lastFailed = -1
		r.parts[i].Shard = p.shards[i].name
	}
	r.statusCounts = [shardStatuses]int{shardIdle: len(p.shards)}
	s.record(q, recorder.Decision{Kind: recorder.Pinned, Detail: p.snapshot, Count: len(p.shards)})
}

// coverageEpsilon prevents a rounding error from increasing the needed number of shards by one.
const coverageEpsilon = 1e-9

// hedgeDelay returns the time after which an attempt is hedged: just above the 95th percentile of the
// response times.
func (s *State) hedgeDelay(l *hedger.Latency) tiller.Millis {
	if !l.HasEnoughSamples(s.now) {
		return defaultHedgeMillis
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
	single, ok := u.singlePlans[n.Name]
	if !ok {
		single = p.asSingle()
		u.singlePlans[n.Name] = single
	}
	return single
}

// unpin removes a running query from the tables of its unit.
func (s *State) unpin(q *query) {
	u, r := q.unit, &q.running
	u.running--
	u.pending.remove(q)
	u.detached.remove(q)
	for i, waits := range r.waitsFor {
		if waits {
			r.plan.members[i].removeWaiter(q)
		}
	}
	r.waitsFor = nil
	s.markDirty(u)
}

// handOver routes the queries of a unit that this daemon no longer owns to the new owner: the queued ones,
// and the pinned ones that wait for an upstream, of which nothing has run.
func (s *State) handOver(u *unit) {
	for u.queue.Len() > 0 {
		e, _, _ := u.queue.Pop()
		q := s.queued[e.Handle]
		delete(s.queued, e.Handle)
		s.handOverQuery(q)
	}
	for _, q := range slices.Clone(u.pending.items) {
		if q.running.inFlight == 0 && q.running.statusCounts[shardAnswered] == 0 && !q.mayHaveRun {
			s.unpin(q)
			q.running = running{}
			s.handOverQuery(q)
		}
	}
}

func (s *State) handOverQuery(q *query) {
	q.phase = phaseRouting
	s.disarm(&q.timers[timerRetry])
	s.leaveDigest(q)
	s.route(q)
}
