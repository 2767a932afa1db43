package reducer

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/recorder"
	"github.com/carawaytiller/carawaytiller/router"
)

// suspectRetryMillis is the time after which placement is tried again for shards of a suspected request
// that no upstream may take now.
const suspectRetryMillis tiller.Millis = 50

// chooser chooses upstreams for the shards of one query, with one random number for all of them.
type chooser struct {
	state  *State
	query  *query
	random uint64
	// excluded is an upstream that is not chosen, and avoidedDomain a failure domain that is chosen only
	// when there is no other. Both are for hedged requests.
	excluded      int32
	avoidedDomain string
	suspect       bool
	// lostUpstreams are the upstreams that were lost while they ran the request.
	lostUpstreams []string
}

func (s *State) newChooser(q *query) *chooser {
	c := &chooser{state: s, query: q, random: s.nextRandom(), excluded: router.None}
	c.suspect = s.isSuspect(q.digest)
	if c.suspect {
		c.lostUpstreams = s.quarantine.LostUpstreams(s.now, q.digest)
	}
	return c
}

// best returns the preferred upstream for a shard, as an index into the plan; router.None when no upstream
// admits the request now.
func (c *chooser) best(sh int32) int32 {
	r := &c.query.running
	found := router.None
	var best router.Candidate
	for _, i := range r.plan.shards[sh].replicas {
		m := r.plan.members[i]
		if !c.isCandidate(m, i) {
			continue
		}
		candidate := router.Candidate{
			Index:    i,
			Cold:     (m.limit.Cold() || m.isSlow()) && !r.exploring,
			Failed:   m.isFallback(r.version) || r.shards[sh].lastFailed == i || c.avoidsDomain(m.upstream.spec.Domain),
			InFlight: m.limit.InFlight(),
			Limit:    m.limit.Limit(),
		}
		if found == router.None || router.Better(candidate, best, c.random) {
			found, best = i, candidate
		}
	}
	return found
}

// avoidsDomain reports whether upstreams of other failure domains are preferred. For a hedged request this is
// so for the domain of the slow attempt. For a canary it is so for a domain with a recent loss, where
// another loss would be taken for a failure of the domain and not counted against the request.
func (c *chooser) avoidsDomain(domain string) bool {
	if c.avoidedDomain != "" && c.avoidedDomain == domain {
		return true
	}
	return c.query.running.canaryOnly && !c.state.quarantine.IsLossFree(c.state.now, domain)
}

func (c *chooser) isCandidate(m *member, i int32) bool {
	if !m.hasRoom || !m.acceptsVersion(c.query.running.version) || i == c.excluded || m.lacksSnapshot(c.query.running.plan.snapshot, c.state.now) {
		return false
	}
	return !c.suspect || c.mayTakeSuspect(m)
}

// mayTakeSuspect reports whether a suspected request may be sent to an upstream. The upstream must not have
// been lost with this request before, its failure domain must have had no loss so recently that another
// loss would not be counted, and it must run no other suspected request, so that a loss is
// attributed to the right one.
func (c *chooser) mayTakeSuspect(m *member) bool {
	up := m.upstream
	if slices.Contains(c.lostUpstreams, up.spec.Name) || !c.state.quarantine.IsLossFree(c.state.now, up.spec.Domain) {
		return false
	}
	for _, other := range up.members {
		for id := range other.attempts {
			d := c.state.attempts[id].query.digest
			if d != c.query.digest && c.state.isSuspect(d) {
				return false
			}
		}
	}
	return true
}

// placeIdle places every shard that is idle or waiting.
func (s *State) placeIdle(q *query) {
	r := &q.running
	if r.canaryOnly {
		s.placeCanary(q)
		return
	}
	if r.statusCounts[shardIdle] == len(r.shards) {
		s.placeShards(q, r.plan.allShards)
		return
	}
	var shards []int32
	for _, sh := range r.plan.allShards {
		if isPlaceable(r.shards[sh].status) {
			shards = append(shards, sh)
		}
	}
	s.placeShards(q, shards)
}

// placeShards groups shards by the upstream chosen for each and sends one attempt to each upstream.
// Shards for which no upstream is available wait.
func (s *State) placeShards(q *query, shards []int32) {
	none := shards
	if s.maySend(q.unit) {
		var groups []router.Group
		groups, none = s.grouper.Group(shards, len(q.running.plan.members), s.newChooser(q).best)
		for _, g := range groups {
			s.sendGroup(q, g.Upstream, g.Shards)
		}
	}
	for _, sh := range none {
		s.waitForUpstream(q, sh)
	}
	s.advance(q)
}

// sendGroup sends shards to an upstream, unless this is a retry and the retry budget is exhausted.
func (s *State) sendGroup(q *query, index int32, shards []int32) {
	k := kindFirst
	if isRetry(&q.running, shards) {
		k = kindRetry
		if !q.unit.retryBudget.Allows(1) {
			s.count(CountRetryDenied, tiller.ReasonRetryBudget, 1)
			s.retryShards(q, shards, tiller.NotRun, q.running.shards[shards[0]].reason)
			return
		}
	}
	s.sendAttempt(q, index, shards, k)
}

// isRetry reports whether an attempt with each of the shards has failed before.
func isRetry(r *running, shards []int32) bool {
	for _, sh := range shards {
		if !r.shards[sh].retried {
			return false
		}
	}
	return true
}

// waitForUpstream makes a shard wait until one of its upstreams admits a request. It marks the shard missing
// when no upstream may serve it. A shard of a suspected request waits for the retry timer instead.
func (s *State) waitForUpstream(q *query, sh int32) {
	r := &q.running
	open, lacking := s.replicasOf(q, sh)
	switch {
	case !open:
		s.markMissing(q, sh, lacking)
		return
	case s.maySend(q.unit) && s.isSuspect(q.digest):
		s.delayShard(q, sh, s.now+suspectRetryMillis)
		return
	}
	r.setStatus(sh, shardWaiting)
	if r.waitsFor == nil {
		r.waitsFor = make([]bool, len(r.plan.members))
	}
	for _, i := range r.plan.shards[sh].replicas {
		m := r.plan.members[i]
		if !r.waitsFor[i] && m.isOpen() && m.acceptsVersion(r.version) {
			r.waitsFor[i] = true
			m.addWaiter(waiter{query: q, index: i})
		}
	}
	q.unit.pending.add(q)
	s.markDirty(q.unit)
}

// replicasOf reports whether the shard has an upstream that is open for the query, and whether one of
// its upstreams lacks the snapshot.
func (s *State) replicasOf(q *query, sh int32) (open, lacking bool) {
	p := q.running.plan
	for _, i := range p.shards[sh].replicas {
		m := p.members[i]
		if m.lacksSnapshot(p.snapshot, s.now) {
			lacking = true
			continue
		}
		open = open || m.isOpen() && m.acceptsVersion(q.running.version)
	}
	return open, lacking
}

// markMissing marks a shard that no upstream may serve. With lacking, an upstream of the shard lacks the
// snapshot, so that the query may be run again on a newer one.
func (s *State) markMissing(q *query, sh int32, lacking bool) {
	r := &q.running
	st := &r.shards[sh]
	switch {
	case lacking:
		st.reason = tiller.ReasonNoSnapshot
		r.snapshotRetired = true
	case st.reason == "":
		st.reason = tiller.ReasonNoUpstream
	}
	r.setStatus(sh, shardMissing)
}

// serveWaiters serves the queries that wait for a member, in the order of their start tags, while
// the member admits requests.
func (s *State) serveWaiters(m *member) {
	for m.hasRoom && len(m.waiters) > 0 {
		w := m.waiters[0]
		m.waiters = slices.Delete(m.waiters, 0, 1)
		w.query.running.waitsFor[w.index] = false
		s.serveWaiter(w.query, w.index)
	}
}

func (s *State) serveWaiter(q *query, index int32) {
	r := &q.running
	if r.canaryOnly && r.inFlight > 0 || r.plan.members[index].lacksSnapshot(r.plan.snapshot, s.now) || !r.plan.members[index].acceptsVersion(r.version) {
		return
	}
	var shards []int32
	for _, sh := range r.plan.memberShards[index] {
		if r.shards[sh].status == shardWaiting {
			shards = append(shards, sh)
		}
	}
	if len(shards) == 0 {
		return
	}
	if c := s.newChooser(q); c.suspect && !c.mayTakeSuspect(r.plan.members[index]) {
		for _, sh := range shards {
			s.delayShard(q, sh, s.now+suspectRetryMillis)
		}
	} else {
		s.sendGroup(q, index, shards)
	}
	s.advance(q)
}

// detachWaiters removes the queries that wait for a member which gets no new attempts.
// Their shards are placed again at the end of the step.
func (s *State) detachWaiters(m *member) {
	for _, w := range m.waiters {
		w.query.running.waitsFor[w.index] = false
		m.unit.detached.add(w.query)
	}
	m.waiters = nil
	s.markDirty(m.unit)
}

func (s *State) placeDetached(u *unit) {
	for u.detached.len() > 0 {
		q := u.detached.items[u.detached.len()-1]
		u.detached.remove(q)
		s.placeIdle(q)
	}
}

// advance ends a query whose result can no longer change, runs it again when its snapshot is retired,
// sends the next canary, and starts the straggler wait.
func (s *State) advance(q *query) {
	r := &q.running
	if q.phase != phaseRunning {
		return
	}
	if r.snapshotRetired {
		r.snapshotRetired = false
		if s.rerun(q) {
			return
		}
	}
	if r.statusCounts[shardWaiting] == 0 {
		q.unit.pending.remove(q)
	}
	if r.canaryOnly && r.inFlight == 0 && r.statusCounts[shardIdle] > 0 && r.statusCounts[shardDelayed]+r.statusCounts[shardWaiting] == 0 {
		s.placeCanary(q)
		return
	}
	switch {
	case r.isSettled(), len(r.shards)-r.statusCounts[shardMissing] < r.needed:
		s.conclude(q)
	case r.waitFor == tiller.WaitForTail && r.statusCounts[shardAnswered] >= r.needed:
		if t := &q.timers[timerStraggler]; !t.armed {
			s.arm(t, s.now+r.stragglerWait)
		}
	}
}

// rerun restarts a query on the current snapshot. It does so at most once, for a repeatable query, and only
// if the snapshot is another one and the median duration of a query still fits before the reply is due.
func (s *State) rerun(q *query) bool {
	p := s.currentPlan(q)
	r := &q.running
	tooLate := s.now+s.latencyOf(q).queries.Median(s.now) >= q.replyBy
	if p == nil || p.snapshot == r.plan.snapshot || !q.repeatable || r.reruns > 0 || tooLate {
		return false
	}
	s.count(CountRerun, tiller.ReasonNoSnapshot, 1)
	s.record(q, recorder.Decision{Kind: recorder.Rerun, Detail: p.snapshot})
	s.cancelAttempts(q, tiller.ReasonNoSnapshot)
	s.unpin(q)
	for _, k := range []timerKind{timerHedge, timerStraggler, timerRetry, timerExpiry} {
		s.disarm(&q.timers[k])
	}
	q.running = running{startTag: r.startTag, reruns: r.reruns + 1, exploring: r.exploring, canaryOnly: r.canaryOnly, version: r.version}
	q.unit.running++
	s.pin(q, p)
	s.placeIdle(q)
	return true
}
