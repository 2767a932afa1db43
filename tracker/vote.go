package tracker

import tiller "github.com/carawaytiller/carawaytiller"

// vote is this voter's record of its grants of one unit's lease.
type vote struct {
	// rank and incarnation identify the candidate of the last grant; rank is -1 before the first one.
	rank        int
	incarnation int64
	// active says that the candidate has not released the grant; it may have expired.
	active bool
	// until is the end of the grant.
	until tiller.Millis
	// holderOwns says that the candidate owned the unit when it sent the request.
	holderOwns bool
	// drainUntil is the time until which requests of earlier owners may still run.
	drainUntil tiller.Millis
	// freeSince is the time since which this voter has known of no owner's grant.
	freeSince tiller.Millis
	// lastRequests holds the last request of each candidate, by rank. Older and released requests, which
	// are delayed or duplicated messages, are dropped.
	lastRequests []lastRequest
}

// lastRequest identifies the last request of a candidate, by incarnation and send time.
type lastRequest struct {
	incarnation int64
	sentAt      tiller.Millis
	released    bool
}

func newVote(now tiller.Millis, voters int) vote {
	return vote{rank: -1, freeSince: now, lastRequests: make([]lastRequest, voters)}
}

// supersedes reports whether r is a later request than m, or the same request and released.
func (r lastRequest) supersedes(m Message) bool {
	if m.Incarnation != r.incarnation {
		return m.Incarnation < r.incarnation
	}
	return m.SentAt < r.sentAt || (m.SentAt == r.sentAt && r.released)
}

// heldByOther reports whether a candidate other than rank holds an unexpired grant.
func (v *vote) heldByOther(now tiller.Millis, rank int) bool {
	return v.active && v.rank != rank && now < v.until
}

// grant records a grant to a candidate. The previous holder, if it did not release, may have requests in flight
// until GraceMillis after the end of its grant. A repeated request does not extend the grant.
func (v *vote) grant(now tiller.Millis, rank int, m Message, length tiller.Millis) {
	sameCandidate := v.rank == rank && v.incarnation == m.Incarnation
	if v.active && !sameCandidate {
		v.drainUntil = max(v.drainUntil, v.until+lengthenForDrift(GraceMillis))
		v.freeSince = max(v.freeSince, v.until)
	}
	repeated := sameCandidate && v.active && v.lastRequests[rank].sentAt == m.SentAt
	if !repeated {
		v.until = now + length
	}
	v.rank, v.incarnation = rank, m.Incarnation
	v.active = true
	v.holderOwns = m.Renewal
	v.lastRequests[rank] = lastRequest{incarnation: m.Incarnation, sentAt: m.SentAt}
}

// release ends the grant of a candidate that holds it, and reports whether m is newer than what is known of
// that candidate.
func (v *vote) release(now tiller.Millis, rank int, m Message) bool {
	if v.lastRequests[rank].supersedes(m) {
		return false
	}
	v.lastRequests[rank] = lastRequest{incarnation: m.Incarnation, sentAt: m.SentAt, released: true}
	v.drainUntil = max(v.drainUntil, now+lengthenForDrift(min(m.Wait, GraceMillis)))
	if v.active && v.rank == rank && v.incarnation == m.Incarnation {
		v.active = false
		v.freeSince = v.freeAfterRelease(now, m)
	}
	return true
}

// freeAfterRelease returns freeSince after a release by the holder. The release of a candidate that did not own
// the unit does not change it, so that a candidate that fails repeatedly does not delay those ranked after it.
func (v *vote) freeAfterRelease(now tiller.Millis, m Message) tiller.Millis {
	if !v.holderOwns && !m.Renewal {
		return v.freeSince
	}
	return max(v.freeSince, min(now, v.until))
}

// receiveRequest replies to a candidate's request, and drops an outdated or invalid one.
func (t *Table) receiveRequest(now tiller.Millis, u *unitState, rank int, m Message) []Envelope {
	seat := u.voters[rank]
	if m.Seat != seat || m.Length <= 0 || u.vote.lastRequests[rank].supersedes(m) {
		return nil
	}
	reply := t.decide(now, u, rank, m)
	return []Envelope{{To: seat, Message: reply}}
}

// decide grants or denies a request that no later request of its candidate supersedes.
func (t *Table) decide(now tiller.Millis, u *unitState, rank int, m Message) Message {
	reply := Message{
		Kind:        Deny,
		Unit:        u.id,
		Epoch:       u.epoch,
		Seat:        m.Seat,
		Incarnation: m.Incarnation,
		SentAt:      m.SentAt,
		Settled:     now >= u.votersHoldUntil,
		Holder:      -1,
	}
	v := &u.vote
	if from := t.noGrantUntil(u); now < from {
		reply.Length = from - now
		return reply
	}
	other := v.rank != rank || v.incarnation != m.Incarnation
	if v.active && other && now < v.until {
		reply.Length = v.until - now
		reply.Holder = u.voters[v.rank]
		reply.Renewal = v.holderOwns
		return reply
	}
	length := min(m.Length, LeaseMillis)
	v.grant(now, rank, m, length)
	reply.Kind = Grant
	reply.Holder = 0
	reply.Length = length
	reply.Wait = max(0, v.drainUntil-now, t.noGrantUntil(u)+lengthenForDrift(GraceMillis)-now)
	u.exchangeSuspects(now, rank, m, &reply)
	return reply
}

// receiveRelease ends a grant, and lets this daemon request the lease immediately if it is invited to take over.
func (t *Table) receiveRelease(now tiller.Millis, u *unitState, rank int, m Message) {
	if m.Seat != u.voters[rank] {
		return
	}
	newer := u.vote.release(now, rank, m)
	if newer && m.Renewal && m.Holder == t.cfg.Seat {
		u.candidate.invited = true
		u.candidate.nextRequestAt = now
	}
}
