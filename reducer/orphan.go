package reducer

import tiller "github.com/carawaytiller/carawaytiller"

// orphanGrace is the time within which an upstream takes notice of a cancellation or of a deadline that has passed,
// in milliseconds. It covers the way there.
const orphanGraceMillis tiller.Millis = 250

// orphan is an attempt to an upstream in cold start that belongs to no query any more, and that the upstream may
// still run. It keeps its place in the limit for a while: a request sent in its place at once
// would reach the upstream before the cancellation has taken effect, and it would run more than it bears.
type orphan struct {
	member *member
	query  queryKey
	timer  timer
}

// orphan keeps the place of an attempt that was cancelled, or whose deadline passed, at the time from.
func (s *State) keepOrphan(id tiller.AttemptID, a attempt, from tiller.Millis) {
	o := &orphan{member: a.member, query: a.query.key}
	o.timer = timer{kind: timerOrphan, member: a.member, attempt: id}
	s.orphans[id] = o
	a.member.orphans++
	s.orphanCounts[o.query.callerKey()]++
	s.arm(&o.timer, from+orphanGraceMillis)
}

// endOrphan frees the place of an orphan.
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

// sender returns the key under which a caller may send the same request again.
func (k queryKey) callerKey() queryKey {
	k.fromIssuer = false
	return k
}

// settleSender notes that one orphan less of a caller's request is in flight.
func (s *State) decrementOrphans(k queryKey) {
	s.orphanCounts[k]--
	if s.orphanCounts[k] == 0 {
		delete(s.orphanCounts, k)
	}
}
