package reducer

import tiller "github.com/carawaytiller/carawaytiller"

// orphanGrace is the time after the deadline of an attempt by which its upstream has stopped running it, in
// milliseconds. It covers the way there, because the upstream counts the time left from the receipt.
const orphanGrace tiller.Millis = 250

// orphan is an attempt to an upstream in cold start that nobody waits for any more. It is not cancelled and keeps
// its place in the limit until its end is known: an upstream takes notice of a cancellation some time
// after the next request, and then runs more than it bears.
type orphan struct {
	member *member
	// query and snapshot are what a response must echo.
	query    queryKey
	snapshot string
	timer    timer
}

// orphan keeps the place of an attempt that is no longer needed.
func (s *State) orphan(id tiller.AttemptID, a attempt) {
	o := &orphan{member: a.member, query: a.query.key, snapshot: a.query.running.plan.snapshot}
	o.timer = timer{kind: timerOrphan, member: a.member, attempt: id}
	s.orphans[id] = o
	a.member.orphans++
	s.orphaned[o.query.sender()]++
	s.arm(&o.timer, max(s.now, a.deadline)+orphanGrace)
}

// endOrphan frees the place of an orphan, and says whether there was one.
func (s *State) endOrphan(id tiller.AttemptID, completed bool) bool {
	o, ok := s.orphans[id]
	if !ok {
		return false
	}
	delete(s.orphans, id)
	s.disarm(&o.timer)
	if completed {
		o.member.limit = o.member.limit.WithCompleted(true)
	} else {
		o.member.limit = o.member.limit.WithEnded()
	}
	o.member.orphans--
	s.settleSender(o.query.sender())
	s.refresh(o.member)
	if o.member.gone && o.member.isIdle() {
		s.forget(o.member)
	}
	return true
}

// sender returns the key under which a caller may send the same request again.
func (k queryKey) sender() queryKey {
	k.spent = false
	return k
}

// settleSender notes that one orphan less of a caller's request is in flight.
func (s *State) settleSender(k queryKey) {
	s.orphaned[k]--
	if s.orphaned[k] == 0 {
		delete(s.orphaned, k)
	}
}

// answerOrphan takes from the response to an orphan what it says about the upstream.
func (s *State) answerOrphan(e ResponseArrived) {
	o, ok := s.orphans[e.Attempt]
	if !ok {
		return
	}
	r := e.Response
	if r.ID != o.query.id || r.Attempt != e.Attempt || r.Snapshot != o.snapshot {
		s.count(CountMismatched, tiller.ReasonMismatch, 1)
		s.endOrphan(e.Attempt, false)
		return
	}
	s.endOrphan(e.Attempt, true)
	s.noteResponse(o.member.upstream, r)
}

// expireOrphan gives up an orphan whose deadline has long passed.
func (s *State) expireOrphan(id tiller.AttemptID) {
	s.endOrphan(id, false)
	s.emit(CancelAttempt{Attempt: id, Reason: tiller.ReasonTimeout})
}

// failOrphan handles the failure of an orphan. Where the upstream may still run it, the place stays taken
// until the deadline has passed.
func (s *State) failOrphan(e AttemptFailed) bool {
	o, ok := s.orphans[e.Attempt]
	if !ok {
		return false
	}
	if e.Reason == tiller.ReasonDraining {
		s.drain(o.member.upstream)
	}
	if e.Verdict == tiller.NotRun || e.Reason == tiller.ReasonUpstreamError {
		s.endOrphan(e.Attempt, false)
	}
	return true
}
