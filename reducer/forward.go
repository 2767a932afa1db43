package reducer

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/recorder"
)

const (
	// maxRedirects is the number of daemons tried after the first one before the query waits for an owner.
	maxRedirects = 2
	// ownerWaitMillis is how long a query waits for an owner. It is the time that a takeover takes.
	ownerWaitMillis = 2 * tiller.Second
	// firstOwnerSearchMillis is the first delay before the owner is looked for again, before jitter. It doubles
	// with each round, up to 400 ms.
	firstOwnerSearchMillis tiller.Millis = 50
	// ownerRetryHintMillis is the retry hint in a refusal because a unit has no owner.
	ownerRetryHintMillis tiller.Millis = 200
)

// forwarding is the state of a query that a peer is to answer.
type forwarding struct {
	id   ForwardID
	seat int
	// toIssuer is set when the peer is the issuer of the query's token and not the owner of its unit.
	toIssuer bool
	// tried are the seats asked in the current round.
	tried     []int
	redirects int
	// namedOwner is the owner that the last peer named. It is valid when hasNamedOwner is set.
	namedOwner      int
	hasNamedOwner   bool
	searchStartedAt tiller.Millis
	isSearching     bool
	searchRound     int
}

// knownOwner returns the last known owner of a unit; -1 when there is none.
func (s *State) knownOwner(u *unit) int {
	if owner := s.holding(u).Owner; owner >= 0 && !s.isSelf(owner) {
		return owner
	}
	return u.lastOwner
}

// findOwner forwards a query to the owner of its unit, or waits until one is known.
func (s *State) findOwner(q *query) {
	q.unit.awaitingOwner.remove(q)
	if s.owns(q.unit) {
		s.route(q)
		return
	}
	f := &q.forwarding
	seat, ok := s.nextSeat(q)
	switch {
	case ok && f.redirects <= maxRedirects:
		s.forwardTo(q, seat)
	case len(f.tried) == 0:
		s.refuseAfter(q, ownerReason(q), "no daemon to ask", ownerRetryHintMillis)
	default:
		s.awaitOwner(q)
	}
}

// nextSeat returns the seat of the next daemon to ask: the owner that the last peer named, the last known
// owner, then the voters of the unit.
func (s *State) nextSeat(q *query) (int, bool) {
	f := &q.forwarding
	if f.hasNamedOwner && s.mayAsk(f, f.namedOwner) {
		return f.namedOwner, true
	}
	if owner := s.holding(q.unit).Owner; s.mayAsk(f, owner) {
		return owner, true
	}
	if s.mayAsk(f, q.unit.lastOwner) {
		return q.unit.lastOwner, true
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
	deadline := q.request.Deadline - 2*s.cfg.hop(seat) - 1
	if deadline-replyMarginMillis <= s.now {
		s.refuse(q, tiller.ReasonDeadlineTooShort, "no time to ask the owner")
		return
	}
	s.lastForward++
	f.id, f.seat = s.lastForward, seat
	f.tried = append(f.tried, seat)
	q.phase = phaseForwarded
	s.forwards[f.id] = q
	s.record(q, recorder.Decision{Kind: recorder.Forwarded, Count: seat})
	s.emit(Forward{Forward: f.id, Seat: seat, Query: q.request.WithDeadline(deadline), Redirects: f.redirects})
}

// awaitOwner waits before it looks for the owner again, with exponential backoff and jitter.
func (s *State) awaitOwner(q *query) {
	f := &q.forwarding
	if !f.isSearching {
		f.isSearching, f.searchStartedAt = true, s.now
	}
	wait := firstOwnerSearchMillis << min(f.searchRound, 3)
	f.searchRound++
	at := s.now + wait/2 + tiller.Millis(s.nextRandom()%uint64(wait))
	if at >= q.replyBy || at-f.searchStartedAt > ownerWaitMillis {
		s.refuseAfter(q, ownerReason(q), "no owner found", ownerRetryHintMillis)
		return
	}
	q.phase = phaseRouting
	q.unit.awaitingOwner.add(q)
	s.arm(&q.timers[timerOwner], at)
}

// onOwnerDue starts a new round of the search for the owner.
func (s *State) onOwnerDue(q *query) {
	f := &q.forwarding
	f.tried, f.redirects, f.hasNamedOwner = f.tried[:0], 0, false
	s.findOwner(q)
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
			q.unit.lastOwner = q.forwarding.seat
		}
		s.finish(q, e.Result)
		return
	}
	if r.Verdict != tiller.NotRun {
		q.mayHaveRun = true
	}
	if mayAskAnother(r.Reason) && (r.Verdict == tiller.NotRun || q.repeatable) {
		q.forwarding.namedOwner, q.forwarding.hasNamedOwner = r.Owner, r.Reason == tiller.ReasonNotOwner
		s.redirect(q, r.Reason)
		return
	}
	passed := *r
	passed.Verdict = worstVerdict(q, r.Verdict)
	s.finish(q, tiller.Result{Refusal: &passed})
}

// worstVerdict returns the verdict of a peer's refusal, or MayHaveRun if an earlier peer may have run the request.
func worstVerdict(q *query, v tiller.Verdict) tiller.Verdict {
	if v == tiller.NotRun && q.mayHaveRun {
		return tiller.MayHaveRun
	}
	return v
}

// mayAskAnother reports whether another daemon may answer a query that a peer refused for the reason.
func mayAskAnother(r tiller.Reason) bool {
	switch r {
	case tiller.ReasonNotOwner, tiller.ReasonStopping, tiller.ReasonNotReady, tiller.ReasonOwnerLost:
		return true
	}
	return false
}

// onPeerFailed refuses a forwarded query that got no reply, or asks another daemon.
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
	if q.unit.lastOwner == q.forwarding.seat {
		q.unit.lastOwner = unknownSeat
	}
	q.forwarding.hasNamedOwner = false
	if e.Verdict != tiller.NotRun {
		q.mayHaveRun = true
		if !q.repeatable {
			s.refuse(q, tiller.ReasonOwnerLost, "the connection to the owner was lost")
			return
		}
	}
	s.redirect(q, tiller.ReasonOwnerLost)
}

// redirect forwards a query to the next daemon.
func (s *State) redirect(q *query, reason tiller.Reason) {
	q.forwarding.redirects++
	s.count(CountRedirect, reason, 1)
	s.findOwner(q)
}

func (s *State) takeForward(id ForwardID) (*query, bool) {
	q, ok := s.forwards[id]
	if !ok {
		return nil, false
	}
	delete(s.forwards, id)
	q.phase = phaseRouting
	return q, true
}

// cancelForward cancels a query at the peer to which it was forwarded.
func (s *State) cancelForward(q *query) {
	if _, ok := s.forwards[q.forwarding.id]; !ok {
		return
	}
	delete(s.forwards, q.forwarding.id)
	s.emit(CancelForward{Forward: q.forwarding.id})
}
