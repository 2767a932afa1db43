package reducer

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/recorder"
)

const (
	// maxRedirects is the number of further daemons asked after the first one, before waiting.
	maxRedirects = 2
	// ownerWaitMillis is the time for which a query waits for an owner: that of a takeover.
	ownerWaitMillis = 2 * tiller.Second
	// firstSeekMillis is the time until the owner is looked for again; it doubles.
	firstSeekMillis tiller.Millis = 50
	// ownerRetryMillis is the hint to a caller when a unit has no owner.
	ownerRetryMillis tiller.Millis = 200
)

// forwarding is what a query has while it is to be answered by a peer.
type forwarding struct {
	id   ForwardID
	seat int
	// toIssuer says that the peer is the issuer of the query's token and not the owner of its unit.
	toIssuer bool
	// tried are the seats asked in this round.
	tried     []int
	redirects int
	// named is the owner that the last peer named; it counts when hasName is set.
	named     int
	hasName   bool
	seekingAt tiller.Millis
	isSeeking bool
	round     int
}

// knownOwner returns the last known owner of a unit; -1 when there is none.
func (s *State) knownOwner(u *unit) int {
	if owner := s.holds(u).Owner; owner >= 0 && !s.isSelf(owner) {
		return owner
	}
	return u.owner
}

// seekOwner sends a query to the owner of its unit, or waits until one is known.
func (s *State) seekOwner(q *query) {
	q.unit.seeking.remove(q)
	if s.owns(q.unit) {
		s.route(q)
		return
	}
	f := &q.forwarding
	seat, ok := s.candidate(q)
	switch {
	case ok && f.redirects <= maxRedirects:
		s.forwardTo(q, seat)
	case len(f.tried) == 0:
		s.refuseAfter(q, ownerReason(q), "no daemon to ask", ownerRetryMillis)
	default:
		s.awaitOwner(q)
	}
}

// candidate returns the next daemon to ask: the one named by the last, the last known owner, then the voters.
func (s *State) candidate(q *query) (int, bool) {
	f := &q.forwarding
	if f.hasName && s.mayAsk(f, f.named) {
		return f.named, true
	}
	if owner := s.holds(q.unit).Owner; s.mayAsk(f, owner) {
		return owner, true
	}
	if s.mayAsk(f, q.unit.owner) {
		return q.unit.owner, true
	}
	for _, seat := range s.votersOf(q.unit) {
		if s.mayAsk(f, seat) {
			return seat, true
		}
	}
	return 0, false
}

func (s *State) mayAsk(f *forwarding, seat int) bool {
	return seat >= 0 && !s.isSelf(seat) && !slices.Contains(f.tried, seat)
}

// forwardTo sends a query to a peer, with a deadline that lets the peer's reply arrive in time.
func (s *State) forwardTo(q *query, seat int) {
	f := &q.forwarding
	deadline := q.tiller.Deadline - 2*s.cfg.hop(seat) - 1
	if deadline-replyMargin <= s.now {
		s.refuse(q, tiller.ReasonDeadlineTooShort, "no time to ask the owner")
		return
	}
	s.lastForward++
	f.id, f.seat = s.lastForward, seat
	f.tried = append(f.tried, seat)
	q.phase = phaseForwarded
	s.forwards[f.id] = q
	s.record(q, recorder.Decision{Kind: recorder.Forwarded, Count: seat})
	s.emit(Forward{Forward: f.id, Seat: seat, Query: q.tiller.WithDeadline(deadline), Redirects: f.redirects})
}

// awaitOwner waits until a new owner is known, in growing steps.
func (s *State) awaitOwner(q *query) {
	f := &q.forwarding
	if !f.isSeeking {
		f.isSeeking, f.seekingAt = true, s.now
	}
	wait := firstSeekMillis << min(f.round, 3)
	f.round++
	at := s.now + wait/2 + tiller.Millis(s.draw()%uint64(wait))
	if at >= q.end || at-f.seekingAt > ownerWaitMillis {
		s.refuseAfter(q, ownerReason(q), "no owner found", ownerRetryMillis)
		return
	}
	q.phase = phaseSeeking
	q.unit.seeking.add(q)
	s.arm(&q.timers[timerOwner], at)
}

// onOwnerDue looks for the owner again, in a new round.
func (s *State) onOwnerDue(q *query) {
	f := &q.forwarding
	f.tried, f.redirects, f.hasName = f.tried[:0], 0, false
	s.seekOwner(q)
}

func ownerReason(q *query) tiller.Reason {
	if q.mayHaveRun {
		return tiller.ReasonOwnerLost
	}
	return tiller.ReasonNoOwner
}

// onPeerReply ends a forwarded query with the peer's result, or asks another daemon.
func (s *State) onPeerReply(e PeerReply) {
	q, ok := s.takeForward(e.Forward)
	if !ok {
		s.count(CountDropped, "", 1)
		return
	}
	r := e.Result.Refusal
	if q.forwarding.toIssuer || r == nil {
		if q.unit != nil {
			q.unit.owner = q.forwarding.seat
		}
		s.finish(q, e.Result)
		return
	}
	if r.Verdict != tiller.NotRun {
		q.mayHaveRun = true
	}
	if isElsewhere(r.Reason) && (r.Verdict == tiller.NotRun || q.repeatable) {
		q.forwarding.named, q.forwarding.hasName = r.Owner, r.Reason == tiller.ReasonNotOwner
		s.redirect(q, r.Reason)
		return
	}
	passed := *r
	passed.Verdict = worst(q, r.Verdict)
	s.finish(q, tiller.Result{Refusal: &passed})
}

// worst returns the verdict of a refusal by a peer, joined with what earlier peers may have done.
func worst(q *query, v tiller.Verdict) tiller.Verdict {
	if v == tiller.NotRun && q.mayHaveRun {
		return tiller.MayHaveRun
	}
	return v
}

// isElsewhere says whether another daemon may answer a query that a peer refused for the reason.
func isElsewhere(r tiller.Reason) bool {
	switch r {
	case tiller.ReasonNotOwner, tiller.ReasonStopping, tiller.ReasonNotReady, tiller.ReasonOwnerLost:
		return true
	}
	return false
}

// onPeerFailed ends or moves a forwarded query that got no reply.
func (s *State) onPeerFailed(e PeerFailed) {
	q, ok := s.takeForward(e.Forward)
	if !ok {
		s.count(CountDropped, "", 1)
		return
	}
	if q.forwarding.toIssuer {
		s.refuseSpent(q, tiller.ReasonTokenIssuerGone, "the issuer of the token cannot be reached")
		return
	}
	if q.unit.owner == q.forwarding.seat {
		q.unit.owner = unknownSeat
	}
	q.forwarding.hasName = false
	if e.Verdict != tiller.NotRun {
		q.mayHaveRun = true
		if !q.repeatable {
			s.refuse(q, tiller.ReasonOwnerLost, "the connection to the owner was lost")
			return
		}
	}
	s.redirect(q, tiller.ReasonOwnerLost)
}

// redirect asks the next daemon.
func (s *State) redirect(q *query, reason tiller.Reason) {
	q.forwarding.redirects++
	s.count(CountRedirect, reason, 1)
	s.seekOwner(q)
}

func (s *State) takeForward(id ForwardID) (*query, bool) {
	q, ok := s.forwards[id]
	if !ok {
		return nil, false
	}
	delete(s.forwards, id)
	q.phase = phaseSeeking
	return q, true
}

// cancelForward cancels what a peer does for a query.
func (s *State) cancelForward(q *query) {
	if _, ok := s.forwards[q.forwarding.id]; !ok {
		return
	}
	delete(s.forwards, q.forwarding.id)
	s.emit(CancelForward{Forward: q.forwarding.id})
}
