package tracker

import (
	"math/rand/v2"
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
)

// claim is a daemon's own attempt to get the lease of one unit, or its ownership.
type claim struct {
	owned   bool
	startAt tiller.Millis
	// validUntil is the end of the lease while owned.
	validUntil tiller.Millis
	// lapsedAt is the end of the last lease that was not given up without requests in flight.
	lapsedAt tiller.Millis
	// grants holds what each voter granted, by rank.
	grants []grant
	// sentAt is the time of the last round of requests.
	sentAt tiller.Millis
	// closedAt is the time of the last round whose grants were released; replies up to it are not used.
	closedAt tiller.Millis
	// roundEnd is the end of the wait for replies while not owned; 0 outside of a round.
	roundEnd tiller.Millis
	denials  []denial
	nextTry  tiller.Millis
	// invited says that an owner asked this daemon to take over.
	invited bool
	// heldBy and heldUntil are the owner that voters named, and the end of its lease as far as known.
	heldBy    int
	heldUntil tiller.Millis
	nextRenew tiller.Millis
	// firstSince and firstSeen bound the time for which the first-ranked voter has been answering.
	firstSince tiller.Millis
	firstSeen  tiller.Millis
}

// grant is one voter's share in a lease.
type grant struct {
	// until is the end of the grant on this daemon's clock; 0 means none.
	until tiller.Millis
	// quietUntil is the time until which requests of an earlier owner may still run.
	quietUntil tiller.Millis
	// heardAt is the time of the voter's last reply.
	heardAt tiller.Millis
	// suspectsHash identifies the list of suspects that the voter stores.
	suspectsHash uint64
}

// denial is a voter's refusal in the round that is on.
type denial struct {
	denied  bool
	holder  int
	renewal bool
	length  tiller.Millis
}

func newClaim(now tiller.Millis, voters int) claim {
	longAgo := now - LeaseMillis - 1
	c := claim{
		closedAt:  now - 1,
		grants:    make([]grant, voters),
		denials:   make([]denial, voters),
		nextTry:   now,
		heldBy:    -1,
		firstSeen: longAgo,
	}
	for i := range c.grants {
		c.grants[i].heardAt = longAgo
	}
	return c
}

// wakeAt returns the next time at which tickUnit or lapse does something.
func (t *Table) wakeAt(u *unitState) tiller.Millis {
	c := &u.claim
	if c.owned {
		wake := min(c.validUntil, c.nextRenew)
		if due := c.firstSince + HandBackMillis; u.rank > 0 && due > t.now {
			wake = min(wake, due)
		}
		return wake
	}
	if c.roundEnd != 0 {
		return c.roundEnd
	}
	return t.askAt(u)
}

// askAt returns the time from which this daemon asks for the lease.
func (t *Table) askAt(u *unitState) tiller.Millis {
	if t.stopping {
		return Never
	}
	v, c := &u.vote, &u.claim
	if c.invited {
		return c.nextTry
	}
	free := v.freeSince
	if v.open && v.rank != u.rank {
		free = max(free, v.until)
	}
	return max(c.nextTry, free+tiller.Millis(u.rank)*RankDelayMillis)
}

func (t *Table) tickUnit(now tiller.Millis, u *unitState, random uint64) []Envelope {
	c := &u.claim
	if c.owned {
		if now < c.nextRenew {
			return nil
		}
		return t.ask(now, u, random)
	}
	if c.roundEnd != 0 {
		if now < c.roundEnd {
			return nil
		}
		return t.endRound(now, u, random)
	}
	if now < t.askAt(u) {
		return nil
	}
	if now <= c.closedAt {
		c.nextTry = c.closedAt + 1
		return nil
	}
	return t.ask(now, u, random)
}

// lapse ends an ownership whose lease has run out.
func (t *Table) lapse(now tiller.Millis, u *unitState) {
	c := &u.claim
	if !c.owned || now < c.validUntil {
		return
	}
	c.owned = false
	c.lapsedAt = c.validUntil
	c.roundEnd = 0
	c.nextTry = now
}

// ask sends a request to every voter, for the lease or for its renewal.
func (t *Table) ask(now tiller.Millis, u *unitState, random uint64) []Envelope {
	c := &u.claim
	c.sentAt = now
	c.nextRenew = t.renewAfter(now)
	c.invited = false
	clear(c.denials)
	if !c.owned {
		c.roundEnd = now + ReplyTimeoutMillis
	}
	out := t.receiveReply(now, u, u.rank, t.decide(now, u, u.rank, t.request(now, u, u.rank)), random)
	if !c.owned && c.roundEnd == 0 {
		return out
	}
	for rank, seat := range u.voters {
		if rank != u.rank {
			out = append(out, Envelope{To: seat, Message: t.request(now, u, rank)})
		}
	}
	return out
}

// renewAfter returns the next time of renewal. The units of a daemon renew
// together, so that the messages to a peer fit into one packet.
func (t *Table) renewAfter(now tiller.Millis) tiller.Millis {
	offset := tiller.Millis(t.cfg.Seat) % RenewMillis
	return now + RenewMillis - (now+offset)%RenewMillis
}

func (t *Table) request(now tiller.Millis, u *unitState, rank int) Message {
	m := t.message(now, u, Request)
	m.SentAt = u.claim.sentAt
	m.Length = LeaseMillis
	m.Renewal = u.claim.owned
	if m.Renewal {
		u.addSuspects(now, rank, &m)
	}
	return m
}

func (t *Table) message(now tiller.Millis, u *unitState, kind MessageKind) Message {
	return Message{
		Kind:        kind,
		Unit:        u.id,
		Epoch:       u.epoch,
		Seat:        t.cfg.Seat,
		Incarnation: t.cfg.Incarnation,
		Settled:     now >= u.opensAt,
	}
}

// receiveReply handles a voter's reply to one of this daemon's requests.
func (t *Table) receiveReply(now tiller.Millis, u *unitState, rank int, m Message, random uint64) []Envelope {
	c := &u.claim
	if m.Seat != t.cfg.Seat || m.Incarnation != t.cfg.Incarnation || m.SentAt > c.sentAt {
		return nil
	}
	c.hear(now, rank)
	if m.SentAt <= c.closedAt {
		if m.Kind == Grant {
			return []Envelope{{To: u.voters[rank], Message: t.release(now, u, -1)}}
		}
		return nil
	}
	if m.Kind == Grant {
		t.receiveGrant(now, u, rank, m)
		return nil
	}
	return t.receiveDeny(now, u, rank, m, random)
}

// hear notes a sign of life of a voter.
func (c *claim) hear(now tiller.Millis, rank int) {
	c.grants[rank].heardAt = now
	if rank != 0 {
		return
	}
	if now-c.firstSeen > LeaseMillis {
		c.firstSince = now
	}
	c.firstSeen = now
}

// handBackDue says whether the first-ranked candidate has been reachable long enough to take the unit back.
func (u *unitState) handBackDue(now tiller.Millis) bool {
	c := &u.claim
	return u.rank > 0 && now-c.firstSeen <= LeaseMillis && now-c.firstSince >= HandBackMillis
}

func (t *Table) receiveGrant(now tiller.Millis, u *unitState, rank int, m Message) {
	c := &u.claim
	g := &c.grants[rank]
	until := t.rules.leaseFrom(m.SentAt, now) + shrink(min(m.Length, LeaseMillis))
	g.suspectsHash = m.SuspectsHash
	u.mergeSuspects(now, m)
	if until <= g.until || until <= now {
		return
	}
	g.until = until
	g.quietUntil = now + stretch(m.Wait)
	valid := c.majorityUntil(t.rules.majority(len(u.voters)))
	if c.owned {
		c.validUntil = max(c.validUntil, valid)
		return
	}
	if now < valid {
		c.begin(now, valid)
	}
}

// begin starts the ownership. Every earlier owner shares a voter with this majority, so the
// latest quiet time among the grants covers the requests that an earlier owner left behind.
func (c *claim) begin(now, validUntil tiller.Millis) {
	c.owned = true
	c.validUntil = validUntil
	c.startAt = now
	for _, g := range c.grants {
		if now < g.until {
			c.startAt = max(c.startAt, g.quietUntil)
		}
	}
	c.roundEnd = 0
	c.firstSince = now
}

// majorityUntil returns the time until which at least n grants hold.
func (c *claim) majorityUntil(n int) tiller.Millis {
	ends := make([]tiller.Millis, 0, len(c.grants))
	for _, g := range c.grants {
		ends = append(ends, g.until)
	}
	slices.Sort(ends)
	return ends[len(ends)-n]
}

// receiveDeny notes a voter's refusal. An owner keeps the grants that it has: a voter that
// no longer knows of its grant has a no-grant period that lasts longer than the grant.
func (t *Table) receiveDeny(now tiller.Millis, u *unitState, rank int, m Message, random uint64) []Envelope {
	c := &u.claim
	if c.owned || m.SentAt != c.sentAt || c.roundEnd == 0 {
		return nil
	}
	c.denials[rank] = denial{denied: true, holder: m.Holder, renewal: m.Renewal, length: m.Length}
	if m.Renewal && m.Holder >= 0 {
		c.heldBy, c.heldUntil = m.Holder, now+m.Length
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

// endRound gives up a round that got no majority, releases its grants and chooses the time of the next one.
func (t *Table) endRound(now tiller.Millis, u *unitState, random uint64) []Envelope {
	c := &u.claim
	c.nextTry = now + t.pause(u, random)
	return t.close(now, u, -1)
}

// pause returns how long a candidate waits after a round without a majority: until a lease that an owner
// holds can have ended, else until the voters may grant, else for a random time, so that split votes end.
func (t *Table) pause(u *unitState, random uint64) tiller.Millis {
	owner, hold, split := Never, Never, false
	for _, d := range u.claim.denials {
		switch {
		case !d.denied:
		case d.holder >= 0 && d.renewal:
			owner = min(owner, d.length)
		case d.holder >= 0:
			split = true
		default:
			hold = min(hold, d.length)
		}
	}
	backoff := BackoffMinMillis + tiller.Millis(jitter(random, int64(BackoffMaxMillis-BackoffMinMillis+1)))
	behind := tiller.Millis(u.rank) * RankDelayMillis
	if owner != Never {
		return max(1, stretch(owner)) + behind
	}
	if hold == Never || split {
		return backoff
	}
	return min(LeaseMillis, max(backoff, stretch(hold))) + behind
}

// jitter returns a number from 0 up to n, which depends only on random.
func jitter(random uint64, n int64) int64 {
	return rand.New(rand.NewPCG(random, 0)).Int64N(n)
}

// close ends the round or the ownership, releases every grant and invites the seat next; -1 invites nobody.
func (t *Table) close(now tiller.Millis, u *unitState, next int) []Envelope {
	c := &u.claim
	c.closedAt = c.sentAt
	c.roundEnd = 0
	m := t.release(now, u, next)
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

// release returns the message that gives back every grant up to closedAt.
func (t *Table) release(now tiller.Millis, u *unitState, next int) Message {
	c := &u.claim
	m := t.message(now, u, Release)
	m.SentAt = c.closedAt
	m.Holder = next
	m.Renewal = c.owned && c.closedAt == c.sentAt
	if c.lapsedAt != 0 {
		m.Wait = max(0, c.lapsedAt+GraceMillis-now)
	}
	return m
}

// handOver releases a unit whose work has ended and invites the best-ranked candidate that answers.
func (t *Table) handOver(now tiller.Millis, u *unitState) []Envelope {
	c := &u.claim
	c.nextTry = now + LeaseMillis
	if !c.owned {
		if c.roundEnd == 0 {
			return nil
		}
		return t.close(now, u, -1)
	}
	c.lapsedAt = 0
	next := -1
	for rank, seat := range u.voters {
		if rank != u.rank && now-c.grants[rank].heardAt <= LeaseMillis {
			next = seat
			break
		}
	}
	clear(c.denials)
	return t.close(now, u, next)
}
