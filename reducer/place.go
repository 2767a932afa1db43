package reducer

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/recorder"
	"github.com/carawaytiller/carawaytiller/router"
)

// suspectPauseMillis is the time after which the shards of a suspected request that no upstream
// may take are looked at again.
const suspectRetryMillis tiller.Millis = 50

// choice chooses upstreams for the shards of one query, with one random number for all of them.
type chooser struct {
	state  *State
	query  *query
	random uint64
	// avoid is an upstream that is not chosen, and domain the failure domain that is chosen last; for hedged requests.
	excluded      int32
	avoidedDomain string
	suspect       bool
	// lost are the upstreams lost with the request.
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

// best returns the upstream that is to take a shard now, as an index into the plan; router.None when none has room.
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

// shunsDomain says whether other failure domains are preferred: for a hedged request to that of the attempt, and
// for a canary to one with a recent loss, where the loss of another upstream would not count.
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

// isolates says whether a suspected request may go to an upstream: one that was not lost with it, whose failure
// domain has had no loss so recently that another one would not count, and that runs
// no other suspected request, so that the next loss is not blamed on a bystander.
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

// placeIdle places every shard that is not under way.
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

// place groups shards by the upstream chosen for each and sends an attempt to each upstream.
// Shards without an upstream wait.
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

// sendGroup sends shards to an upstream, unless that would be a retry beyond the budget.
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

// isRetry says whether every one of the shards was sent before.
func isRetry(r *running, shards []int32) bool {
	for _, sh := range shards {
		if !r.shards[sh].retried {
			return false
		}
	}
	return true
}

// wait has a shard wait until one of its upstreams has room, or gives it up when it has none.
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

// replicasOf says whether an upstream that may serve the shard is open, and whether one lacks the snapshot.
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

// giveUp marks a shard that no upstream may serve any more.
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

// fill serves the queries that wait for a member, by their start tags.
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

// abandon looks again at the queries that wait for a member which gets no new attempts.
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

// check ends a query whose result is certain, begins it again when its snapshot is retired,
// and starts the straggler wait.
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

// rerun begins a query again on the current snapshot, when that is another one and there is time.
func (s *State) rerun(q *query) bool {
	p := s.currentPlan(q)
	r := &q.running
	late := s.now+s.latencyOf(q).queries.Median(s.now) >= q.replyBy
	if p == nil || p.snapshot == r.plan.snapshot || !q.repeatable || r.reruns > 0 || late {
		return false
	}
	s.count(CountRerun, tiller.ReasonNoSnapshot, 1)
	s.record(q, recorder.Decision{What: recorder.Rerun, Detail: p.snapshot})
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
