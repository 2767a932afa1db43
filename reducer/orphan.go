package reducer

import tiller "github.com/carawaytiller/carawaytiller"

// orphanGraceMillis is the time within which an upstream stops a request after a cancellation was sent or the
// deadline passed. It includes the network latency.
const orphanGraceMillis tiller.Millis = 250

// orphan is an attempt on a cold upstream that no longer belongs to a query and that the upstream may still run.
// It stays counted in the limit for orphanGraceMillis. If another request were sent at once, it would reach
// the upstream before the cancellation took effect, and the upstream would run more requests than
// it can during a cold start.
type orphan struct {
	member *member
	query  queryKey
	timer  timer
}

// keepOrphan makes an attempt an orphan until orphanGraceMillis after the time from, at which it was cancelled
// or its deadline passed.
func (s *State) keepOrphan(id tiller.AttemptID, a attempt, from tiller.Millis) {
	o := &orphan{member: a.member, query: a.query.key}
	o.timer = timer{kind: timerOrphan, member: a.member, attempt: id}
	s.orphans[id] = o
	a.member.orphans++
	s.orphanCounts[o.query.callerKey()]++
	s.arm(&o.timer, from+orphanGraceMillis)
}

// releaseOrphan removes an orphan and takes it from the limit.
func (s *State) releaseOrphan(id tiller.AttemptID) {
	o := s.orphans[id]
	delete(s.orphans, id)
	m := o.member
	m.limit = m.limit.WithEnded()
	m.orphans--
	s.decrementOrphans(o.query.callerKey())
	s.refresh(m)
	if m.removed && m.isIdle() {
		s.removeMember(m)
	}
}

// callerKey returns the key of the same request when it comes from its caller.
func (k queryKey) callerKey() queryKey {
	k.fromIssuer = false
	return k
}

// decrementOrphans reduces the number of orphans of a request by one.
func (s *State) decrementOrphans(k queryKey) {
	s.orphanCounts[k]--
	if s.orphanCounts[k] == 0 {
		delete(s.orphanCounts, k)
	}
}
