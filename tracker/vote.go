package tracker

import tiller "github.com/carawaytiller/carawaytiller"

// vote is what a voter granted for one unit.
type vote struct {
	// rank and incarnation name the candidate of the last grant; rank is -1 before the first one.
	rank        int
	incarnation int64
	// open says that the candidate has not released the grant.
	active bool
	// until is the end of the grant.
	until tiller.Millis
	// renewal says that the candidate owned the unit when it asked.
	holderOwns bool
	// quietUntil is the time until which requests of earlier owners may still run.
	drainUntil tiller.Millis
	// freeSince is the time since which no owner's grant has been known.
	freeSince tiller.Millis
	// seen holds the last request of each candidate, by rank. Older and released ones, which
	// come late or twice, are dropped.
	lastRequests []lastRequest
}

// stamp orders the requests of a candidate.
type lastRequest struct {
	incarnation int64
	sentAt      tiller.Millis
	released    bool
}

func newVote(now tiller.Millis, voters int) vote {
	return vote{rank: -1, freeSince: now, lastRequests: make([]lastRequest, voters)}
}

// covers says whether s is a later request than m, or the same one and released.
func (s lastRequest) supersedes(m Message) bool {
	if m.Incarnation != s.incarnation {
		return m.Incarnation < s.incarnation
	}
	return m.SentAt < s.sentAt || (m.SentAt == s.sentAt && s.released)
}

// heldByOther says whether a candidate other than rank holds the vote.
func (v *vote) heldByOther(now tiller.Millis, rank int) bool {
	return v.active && v.rank != rank && now < v.until
}

// take gives the vote to a candidate. A candidate that was granted before and did not
// release may have requests in flight until the grace after the end of its grant.
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

// release takes the vote back from a candidate that holds it, and reports whether m is news.
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

// freeAfterRelease returns the time since which no owner is known once the holder has released. The release
// of a candidate that owned nothing leaves it as it was, so that a candidate that fails again and again does
// not hold up the ones ranked after it.
func (v *vote) freeAfterRelease(now tiller.Millis, m Message) tiller.Millis {
	if !v.holderOwns && !m.Renewal {
		return v.freeSince
	}
	return max(v.freeSince, min(now, v.until))
}

// receiveRequest answers a candidate's request.
func (t *Table) receiveRequest(now tiller.Millis, u *unitState, rank int, m Message) []Envelope {
	seat := u.voters[rank]
	if m.Seat != seat || m.Length <= 0 || u.vote.lastRequests[rank].supersedes(m) {
		return nil
	}
	reply := t.decide(now, u, rank, m)
	return []Envelope{{To: seat, Message: reply}}
}

// decide grants or denies a request that is not older than others of its candidate.
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

// receiveRelease takes a grant back and starts this daemon's own attempt when it is invited to take over.
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
