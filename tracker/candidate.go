package tracker

import (
	"math/rand/v2"
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
)

// candidate is this daemon's state as a candidate for the lease of one unit, or as its owner.
type candidate struct {
	owned bool
	// startAt is the time from which the owner may send to upstreams.
	startAt tiller.Millis
	// validUntil is the end of the lease while owned.
	validUntil tiller.Millis
	// expiredAt is the end of the last lease that expired, whose requests may still run; 0 means none.
	expiredAt tiller.Millis
	// grants holds the grant of each voter, by rank.
	grants []grant
	// sentAt is the time of the last round of requests or renewals.
	sentAt tiller.Millis
	// releasedUpTo is the sentAt of the last round whose grants were released. A grant of that round
	// or an earlier one is released again, and a denial ignored.
	releasedUpTo tiller.Millis
	// replyDeadline is the end of the current round while not owned; 0 outside a round.
	replyDeadline tiller.Millis
	// denials holds the denial of each voter in the current round, by rank.
	denials []denial
	// nextRequestAt is the earliest time of the next round while not owned.
	nextRequestAt tiller.Millis
	// invited says that an owner asked this daemon to take over.
	invited bool
	// knownOwner is the seat of the owner that a voter last named, and knownOwnerUntil the end of its lease
	// as far as that voter knew.
	knownOwner      int
	knownOwnerUntil tiller.Millis
	// renewAt is the time of the next renewal while owned.
	renewAt tiller.Millis
	// preferredSince is the time since which the first-ranked voter has replied without a gap longer than
	// LeaseMillis, or the start of the ownership if later. preferredHeardAt is the time of its last reply.
	preferredSince   tiller.Millis
	preferredHeardAt tiller.Millis
}

// grant is one voter's grant of a lease. An owner needs the grants of a majority.
type grant struct {
	// until is the end of the grant on this daemon's clock; 0 means none.
	until tiller.Millis
	// drainUntil is the time until which requests of an earlier owner may still run.
	drainUntil tiller.Millis
	// repliedAt is the time of the voter's last reply.
	repliedAt tiller.Millis
	// suspectsHash is the hash of the list of suspects that the voter stores.
	suspectsHash uint64
}

// denial is a voter's reply of kind Deny in the current round.
type denial struct {
	denied bool
	// holder is the seat that holds the voter's grant; -1 when there is none.
	holder int
	// holderOwns says that holder owned the unit when it asked the voter.
	holderOwns bool
	// length is the time in milliseconds until the voter may grant again.
	length tiller.Millis
}

func newCandidate(now tiller.Millis, voters int) candidate {
	longAgo := now - LeaseMillis - 1
	c := candidate{
		releasedUpTo:     now - 1,
		grants:           make([]grant, voters),
		denials:          make([]denial, voters),
		nextRequestAt:    now,
		knownOwner:       -1,
		preferredHeardAt: longAgo,
	}
	for i := range c.grants {
		c.grants[i].repliedAt = longAgo
	}
	return c
}

// wakeAt returns the next time at which tickUnit or expireLease changes something, or a hand-back falls due.
func (t *Table) wakeAt(u *unitState) tiller.Millis {
	c := &u.candidate
	if c.owned {
		wake := min(c.validUntil, c.renewAt)
		if handBackAt := c.preferredSince + HandBackMillis; u.rank > 0 && handBackAt > t.now {
			wake = min(wake, handBackAt)
		}
		return wake
	}
	if c.replyDeadline != 0 {
		return c.replyDeadline
	}
	return t.requestAt(u)
}

// requestAt returns the time from which this daemon requests the lease: each rank waits RankDelayMillis longer
// than the one before it, except for a candidate that the owner invited.
func (t *Table) requestAt(u *unitState) tiller.Millis {
	if t.stopping {
		return Never
	}
	v, c := &u.vote, &u.candidate
	if c.invited {
		return c.nextRequestAt
	}
	freeAt := v.freeSince
	if v.active && v.rank != u.rank {
		freeAt = max(freeAt, v.until)
	}
	return max(c.nextRequestAt, freeAt+tiller.Millis(u.rank)*RankDelayMillis)
}

func (t *Table) tickUnit(now tiller.Millis, u *unitState, random uint64) []Envelope {
	c := &u.candidate
	if c.owned {
		if now < c.renewAt {
			return nil
		}
		return t.sendRequests(now, u, random)
	}
	if c.replyDeadline != 0 {
		if now < c.replyDeadline {
			return nil
		}
		return t.endRound(now, u, random)
	}
	if now < t.requestAt(u) {
		return nil
	}
	// Replies to a request sent at releasedUpTo or before would be dropped.
	if now <= c.releasedUpTo {
		c.nextRequestAt = c.releasedUpTo + 1
		return nil
	}
	return t.sendRequests(now, u, random)
}

// expireLease ends an ownership whose lease has expired.
func (t *Table) expireLease(now tiller.Millis, u *unitState) {
	c := &u.candidate
	if !c.owned || now < c.validUntil {
		return
	}
	c.owned = false
	c.expiredAt = c.validUntil
	c.replyDeadline = 0
	c.nextRequestAt = now
}

// sendRequests starts a round: it sends a request for the lease, or for its renewal, to every voter.
// This daemon's own vote is decided first, without a message.
func (t *Table) sendRequests(now tiller.Millis, u *unitState, random uint64) []Envelope {
	c := &u.candidate
	c.sentAt = now
	c.renewAt = t.nextRenewal(now)
	c.invited = false
	clear(c.denials)
	if !c.owned {
		c.replyDeadline = now + ReplyTimeoutMillis
	}
	out := t.receiveReply(now, u, u.rank, t.decide(now, u, u.rank, t.newRequest(now, u, u.rank)), random)
	if !c.owned && c.replyDeadline == 0 {
		return out
	}
	for rank, seat := range u.voters {
		if rank != u.rank {
			out = append(out, Envelope{To: seat, Message: t.newRequest(now, u, rank)})
		}
	}
	return out
}

// nextRenewal returns the time of the next renewal after now. A daemon renews all of its
// units at the same time, so that the messages to a peer fit into one packet.
func (t *Table) nextRenewal(now tiller.Millis) tiller.Millis {
	offset := tiller.Millis(t.cfg.Seat) % RenewMillis
	return now + RenewMillis - (now+offset)%RenewMillis
}

func (t *Table) newRequest(now tiller.Millis, u *unitState, rank int) Message {
	m := t.newMessage(now, u, Request)
	m.SentAt = u.candidate.sentAt
	m.Length = LeaseMillis
	m.Renewal = u.candidate.owned
	if m.Renewal {
		u.addSuspects(now, rank, &m)
	}
	return m
}

func (t *Table) newMessage(now tiller.Millis, u *unitState, kind MessageKind) Message {
	return Message{
		Kind:        kind,
		Unit:        u.id,
		Epoch:       u.epoch,
		Seat:        t.cfg.Seat,
		Incarnation: t.cfg.Incarnation,
		Settled:     now >= u.votersHoldUntil,
	}
}

// receiveReply handles a voter's reply to one of this daemon's requests.
func (t *Table) receiveReply(now tiller.Millis, u *unitState, rank int, m Message, random uint64) []Envelope {
	c := &u.candidate
	if m.Seat != t.cfg.Seat || m.Incarnation != t.cfg.Incarnation || m.SentAt > c.sentAt {
		return nil
	}
	c.recordReply(now, rank)
	if m.SentAt <= c.releasedUpTo {
		if m.Kind == Grant {
			return []Envelope{{To: u.voters[rank], Message: t.newRelease(now, u, -1)}}
		}
		return nil
	}
	if m.Kind == Grant {
		t.receiveGrant(now, u, rank, m)
		return nil
	}
	return t.receiveDeny(now, u, rank, m, random)
}

// recordReply records that a voter replied at the time now.
func (c *candidate) recordReply(now tiller.Millis, rank int) {
	c.grants[rank].repliedAt = now
	if rank != 0 {
		return
	}
	if now-c.preferredHeardAt > LeaseMillis {
		c.preferredSince = now
	}
	c.preferredHeardAt = now
}

// handBackDue reports whether the first-ranked candidate has been reachable for HandBackMillis, so that this
// lower-ranked owner hands the unit back to it.
func (u *unitState) handBackDue(now tiller.Millis) bool {
	c := &u.candidate
	return u.rank > 0 && now-c.preferredHeardAt <= LeaseMillis && now-c.preferredSince >= HandBackMillis
}

func (t *Table) receiveGrant(now tiller.Millis, u *unitState, rank int, m Message) {
	c := &u.candidate
	g := &c.grants[rank]
	until := t.rules.leaseStart(m.SentAt, now) + shortenForDrift(min(m.Length, LeaseMillis))
	g.suspectsHash = m.SuspectsHash
	u.mergeSuspects(now, m)
	if until <= g.until || until <= now {
		return
	}
	g.until = until
	g.drainUntil = now + lengthenForDrift(m.Wait)
	valid := c.majorityUntil(t.rules.majority(len(u.voters)))
	if c.owned {
		c.validUntil = max(c.validUntil, valid)
		return
	}
	if now < valid {
		c.becomeOwner(now, valid)
	}
}

// becomeOwner starts the ownership. Every earlier owner's majority shares a voter with this one, so the
// latest drainUntil among the grants covers all requests that earlier owners have in flight.
func (c *candidate) becomeOwner(now, validUntil tiller.Millis) {
	c.owned = true
	c.validUntil = validUntil
	c.startAt = now
	for _, g := range c.grants {
		if now < g.until {
			c.startAt = max(c.startAt, g.drainUntil)
		}
	}
	c.replyDeadline = 0
	c.preferredSince = now
}

// majorityUntil returns the time until which at least n grants are valid.
func (c *candidate) majorityUntil(n int) tiller.Millis {
	ends := make([]tiller.Millis, 0, len(c.grants))
	for _, g := range c.grants {
		ends = append(ends, g.until)
	}
	slices.Sort(ends)
	return ends[len(ends)-n]
}

// receiveDeny records a voter's denial and ends the round once a majority is out of reach. An owner ignores
// denials and keeps its grants: a voter that has lost its record of a grant is in a no-grant period that
// outlasts the grant.
func (t *Table) receiveDeny(now tiller.Millis, u *unitState, rank int, m Message, random uint64) []Envelope {
	c := &u.candidate
	if c.owned || m.SentAt != c.sentAt || c.replyDeadline == 0 {
		return nil
	}
	c.denials[rank] = denial{denied: true, holder: m.Holder, holderOwns: m.Renewal, length: m.Length}
	if m.Renewal && m.Holder >= 0 {
		c.knownOwner, c.knownOwnerUntil = m.Holder, now+m.Length
	}
	denied := 0
	for _, d := range c.denials {
		if d.denied {
			denied++
		}
	}
	if len(u.voters)-denied >= t.rules.majority(len(u.voters)) {
		return nil
	}
	return t.endRound(now, u, random)
}

// endRound ends a round that got no majority, releases its grants and sets the time of the next round.
func (t *Table) endRound(now tiller.Millis, u *unitState, random uint64) []Envelope {
	c := &u.candidate
	c.nextRequestAt = now + t.retryDelay(u, random)
	return t.releaseGrants(now, u, -1)
}

// retryDelay returns how long a candidate waits after a round without a majority. If a voter named an owner, it
// waits for the end of the owner's lease. If every denial was without a holder, as in a no-grant period, it waits
// for the shortest time until a voter may grant, at least a random time and at most LeaseMillis. Else, as after a
// split vote, it waits for a random time, so that the candidates do not split the votes again.
func (t *Table) retryDelay(u *unitState, random uint64) tiller.Millis {
	ownerLease, noGrant, splitVote := Never, Never, false
	for _, d := range u.candidate.denials {
		switch {
		case !d.denied:
		case d.holder >= 0 && d.holderOwns:
			ownerLease = min(ownerLease, d.length)
		case d.holder >= 0:
			splitVote = true
		default:
			noGrant = min(noGrant, d.length)
		}
	}
	backoff := BackoffMinMillis + tiller.Millis(jitter(random, int64(BackoffMaxMillis-BackoffMinMillis+1)))
	rankDelay := tiller.Millis(u.rank) * RankDelayMillis
	if ownerLease != Never {
		return max(1, lengthenForDrift(ownerLease)) + rankDelay
	}
	if noGrant == Never || splitVote {
		return backoff
	}
	return min(LeaseMillis, max(backoff, lengthenForDrift(noGrant))) + rankDelay
}

// jitter returns a number from 0 to n-1 that depends only on random.
func jitter(random uint64, n int64) int64 {
	return rand.New(rand.NewPCG(random, 0)).Int64N(n)
}

// releaseGrants ends the round or the ownership, releases every grant and invites the seat successor to take over;
// -1 invites no seat.
func (t *Table) releaseGrants(now tiller.Millis, u *unitState, successor int) []Envelope {
	c := &u.candidate
	c.releasedUpTo = c.sentAt
	c.replyDeadline = 0
	m := t.newRelease(now, u, successor)
	c.owned = false
	u.vote.release(now, u.rank, m)
	var out []Envelope
	for rank, seat := range u.voters {
		c.grants[rank].until = 0
		if rank != u.rank && !c.denials[rank].denied {
			out = append(out, Envelope{To: seat, Message: m})
		}
	}
	return out
}

// newRelease returns the message that releases every grant requested up to releasedUpTo.
func (t *Table) newRelease(now tiller.Millis, u *unitState, successor int) Message {
	c := &u.candidate
	m := t.newMessage(now, u, Release)
	m.SentAt = c.releasedUpTo
	m.Holder = successor
	m.Renewal = c.owned && c.releasedUpTo == c.sentAt
	if c.expiredAt != 0 {
		m.Wait = max(0, c.expiredAt+GraceMillis-now)
	}
	return m
}

// handOver releases a unit without requests in flight and invites the highest-ranked other candidate that has
// replied within LeaseMillis. This daemon does not request the lease again within LeaseMillis.
func (t *Table) handOver(now tiller.Millis, u *unitState) []Envelope {
	c := &u.candidate
	c.nextRequestAt = now + LeaseMillis
	if !c.owned {
		if c.replyDeadline == 0 {
			return nil
		}
		return t.releaseGrants(now, u, -1)
	}
	c.expiredAt = 0
	successor := -1
	for rank, seat := range u.voters {
		if rank != u.rank && now-c.grants[rank].repliedAt <= LeaseMillis {
			successor = seat
			break
		}
	}
	clear(c.denials)
	return t.releaseGrants(now, u, successor)
}
