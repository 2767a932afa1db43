package reducer

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/recorder"
	"github.com/carawaytiller/carawaytiller/router"
)

// suspectPauseMillis is the time after which the shards of a suspected request that no upstream
// may take are looked at again.
const suspectPauseMillis tiller.Millis = 50

// choice chooses upstreams for the shards of one query, with one random number for all of them.
type choice struct {
	state  *State
	query  *query
	random uint64
	// avoid is an upstream that is not chosen, and domain the failure domain that is chosen last; for hedged requests.
	avoid   int32
	domain  string
	suspect bool
	// lost are the upstreams lost with the request.
	lost []string
}

func (s *State) newChoice(q *query) *choice {
	c := &choice{state: s, query: q, random: s.draw(), avoid: router.None}
	c.suspect = s.isSuspect(q.digest)
	if c.suspect {
		c.lost = s.quarantine.LostUpstreams(s.now, q.digest)
	}
	return c
}

// best returns the upstream that is to take a shard now, as an index into the plan; router.None when none has room.
func (c *choice) best(sh int32) int32 {
	r := &c.query.running
	found := router.None
	var best router.Candidate
	for _, i := range r.plan.shards[sh].replicas {
		m := r.plan.members[i]
		if !c.allows(m, i) {
			continue
		}
		candidate := router.Candidate{
			Index:    i,
			Cold:     (m.limit.Cold() || m.isSlow()) && !r.warming,
			Failed:   m.isSecond(r.side) || r.shards[sh].failed == i || c.shunsDomain(m.upstream.spec.Domain),
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
func (c *choice) shunsDomain(domain string) bool {
	if c.domain != "" && c.domain == domain {
		return true
	}
	return c.query.running.probing && !c.state.quarantine.IsLossFree(c.state.now, domain)
}

func (c *choice) allows(m *member, i int32) bool {
	if !m.roomy || !m.admits(c.query.running.side) || i == c.avoid || m.lacks(c.query.running.plan.snapshot, c.state.now) {
		return false
	}
	return !c.suspect || c.isolates(m)
}

// isolates says whether a suspected request may go to an upstream: one that was not lost with it, whose failure
// domain has had no loss so recently that another one would not count, and that runs
// no other suspected request, so that the next loss is not blamed on a bystander.
func (c *choice) isolates(m *member) bool {
	up := m.upstream
	if slices.Contains(c.lost, up.spec.Name) || !c.state.quarantine.IsLossFree(c.state.now, up.spec.Domain) {
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
	if r.probing {
		s.placeCanary(q)
		return
	}
	if r.counts[shardIdle] == len(r.shards) {
		s.place(q, r.plan.all)
		return
	}
	var shards []int32
	for _, sh := range r.plan.all {
		if isPlaceable(r.shards[sh].status) {
			shards = append(shards, sh)
		}
	}
	s.place(q, shards)
}

// place groups shards by the upstream chosen for each and sends an attempt to each upstream.
// Shards without an upstream wait.
func (s *State) place(q *query, shards []int32) {
	none := shards
	if s.maySend(q.unit) {
		var groups []router.Group
		groups, none = s.grouper.Group(shards, len(q.running.plan.members), s.newChoice(q).best)
		for _, g := range groups {
			s.sendGroup(q, g.Upstream, g.Shards)
		}
	}
	for _, sh := range none {
		s.wait(q, sh)
	}
	s.check(q)
}

// sendGroup sends shards to an upstream, unless that would be a retry beyond the budget.
func (s *State) sendGroup(q *query, index int32, shards []int32) {
	k := kindFirst
	if isRetry(&q.running, shards) {
		k = kindRetry
		if !q.unit.retries.Allows(1) {
			s.count(CountRetryDenied, tiller.ReasonRetryBudget, 1)
			s.resend(q, shards, tiller.NotRun, q.running.shards[shards[0]].reason)
			return
		}
	}
	s.send(q, index, shards, k)
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
func (s *State) wait(q *query, sh int32) {
	r := &q.running
	open, lacking := s.replicasOf(q, sh)
	switch {
	case !open:
		s.giveUp(q, sh, lacking)
		return
	case s.maySend(q.unit) && s.isSuspect(q.digest):
		s.delay(q, sh, s.now+suspectPauseMillis)
		return
	}
	r.set(sh, shardWaiting)
	if r.waits == nil {
		r.waits = make([]bool, len(r.plan.members))
	}
	for _, i := range r.plan.shards[sh].replicas {
		m := r.plan.members[i]
		if !r.waits[i] && m.isOpen() && m.admits(r.side) {
			r.waits[i] = true
			m.enqueue(wait{query: q, index: i})
		}
	}
	q.unit.pending.add(q)
	s.touch(q.unit)
}

// replicasOf says whether an upstream that may serve the shard is open, and whether one lacks the snapshot.
func (s *State) replicasOf(q *query, sh int32) (open, lacking bool) {
	p := q.running.plan
	for _, i := range p.shards[sh].replicas {
		m := p.members[i]
		if m.lacks(p.snapshot, s.now) {
			lacking = true
			continue
		}
		open = open || m.isOpen() && m.admits(q.running.side)
	}
	return open, lacking
}

// giveUp marks a shard that no upstream may serve any more.
func (s *State) giveUp(q *query, sh int32, lacking bool) {
	r := &q.running
	st := &r.shards[sh]
	switch {
	case lacking:
		st.reason = tiller.ReasonNoSnapshot
		r.retired = true
	case st.reason == "":
		st.reason = tiller.ReasonNoUpstream
	}
	r.set(sh, shardMissing)
}

// fill serves the queries that wait for a member, by their start tags.
func (s *State) fill(m *member) {
	for m.roomy && len(m.waiting) > 0 {
		w := m.waiting[0]
		m.waiting = slices.Delete(m.waiting, 0, 1)
		w.query.running.waits[w.index] = false
		s.serve(w.query, w.index)
	}
}

func (s *State) serve(q *query, index int32) {
	r := &q.running
	if r.probing && r.flying > 0 || r.plan.members[index].lacks(r.plan.snapshot, s.now) || !r.plan.members[index].admits(r.side) {
		return
	}
	var shards []int32
	for _, sh := range r.plan.held[index] {
		if r.shards[sh].status == shardWaiting {
			shards = append(shards, sh)
		}
	}
	if len(shards) == 0 {
		return
	}
	if c := s.newChoice(q); c.suspect && !c.isolates(r.plan.members[index]) {
		for _, sh := range shards {
			s.delay(q, sh, s.now+suspectPauseMillis)
		}
	} else {
		s.sendGroup(q, index, shards)
	}
	s.check(q)
}

// abandon looks again at the queries that wait for a member which gets no new attempts.
func (s *State) abandon(m *member) {
	for _, w := range m.waiting {
		w.query.running.waits[w.index] = false
		m.unit.stranded.add(w.query)
	}
	m.waiting = nil
	s.touch(m.unit)
}

func (s *State) replaceStranded(u *unit) {
	for u.stranded.len() > 0 {
		q := u.stranded.items[u.stranded.len()-1]
		u.stranded.remove(q)
		s.placeIdle(q)
	}
}

// check ends a query whose result is certain, begins it again when its snapshot is retired,
// and starts the straggler wait.
func (s *State) check(q *query) {
	r := &q.running
	if q.phase != phaseRunning {
		return
	}
	if r.retired {
		r.retired = false
		if s.rerun(q) {
			return
		}
	}
	if r.counts[shardWaiting] == 0 {
		q.unit.pending.remove(q)
	}
	if r.probing && r.flying == 0 && r.counts[shardIdle] > 0 && r.counts[shardDelayed]+r.counts[shardWaiting] == 0 {
		s.placeCanary(q)
		return
	}
	switch {
	case r.settled(), len(r.shards)-r.counts[shardMissing] < r.needed:
		s.conclude(q)
	case r.waitFor == tiller.WaitForTail && r.counts[shardAnswered] >= r.needed:
		if t := &q.timers[timerStraggler]; !t.armed {
			s.arm(t, s.now+r.wait)
		}
	}
}

// rerun begins a query again on the current snapshot, when that is another one and there is time.
func (s *State) rerun(q *query) bool {
	p := s.currentPlan(q)
	r := &q.running
	late := s.now+s.measureOf(q).queries.Median(s.now) >= q.end
	if p == nil || p.snapshot == r.plan.snapshot || !q.repeatable || r.reruns > 0 || late {
		return false
	}
	s.count(CountRerun, tiller.ReasonNoSnapshot, 1)
	s.record(q, recorder.Decision{Kind: recorder.Rerun, Detail: p.snapshot})
	s.cancelAll(q, tiller.ReasonNoSnapshot)
	s.unpin(q)
	for _, k := range []timerKind{timerHedge, timerStraggler, timerRetry, timerExpiry} {
		s.disarm(&q.timers[k])
	}
	q.running = running{tag: r.tag, reruns: r.reruns + 1, warming: r.warming, probing: r.probing, side: r.side}
	q.unit.running++
	s.pin(q, p)
	s.placeIdle(q)
	return true
}
