package tracker

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Unit is a unit of ownership with the seats that vote on its lease. The voters are also its candidates,
// the most preferred one first.
type Unit struct {
	ID     UnitID
	Voters []int
}

// Envelope is a message and its destination seat.
type Envelope struct {
	To      int
	Message Message
}

// Holding is a daemon's ownership of one unit at one time.
type Holding struct {
	// Owned says that this daemon holds the lease.
	Owned bool
	// StartAt is the time from which the owner may send to upstreams.
	StartAt tiller.Millis
	// ValidUntil is the end of the lease on this daemon's clock.
	ValidUntil tiller.Millis
	// Owner is the seat of the last known owner; -1 when unknown.
	Owner int
	// HandBack asks the owner to start no new request, and to call Release when its running requests have ended.
	HandBack bool
}

// Config identifies the daemon of a Table.
type Config struct {
	// Seat is the seat that the process has claimed.
	Seat int
	// Incarnation increases with each claim of the seat.
	Incarnation int64
	// PropagationMillis is the time within which a document is in force on every daemon; 0 means DefaultPropagationMillis.
	// A smaller value is safe only if no process uses an earlier document for longer than that.
	PropagationMillis tiller.Millis
}

// Table holds a daemon's votes and leases. Its size grows with the number of units
// that its seat votes on, not with the number of seats. It is not safe for concurrent use.
type Table struct {
	cfg           Config
	rules         rules
	now           tiller.Millis
	seatClaimedAt tiller.Millis
	units         map[UnitID]*unitState
	// order lists the units by identifier, so that the output is deterministic.
	order []*unitState
	epoch uint64
	// unitsSet says that SetUnits has been called.
	unitsSet bool
	stopping bool
	resigned bool
}

// unitState is this daemon's state as voter and candidate for one unit.
type unitState struct {
	id     UnitID
	voters []int
	// rank is the rank of this daemon's seat among the voters.
	rank  int
	epoch uint64
	// votersHoldUntil is the end of the no-grant period after a change of the unit's voters.
	votersHoldUntil tiller.Millis
	// initial says that the unit comes from the first SetUnits of the process, so that a peer whose
	// no-grant period has ended may end the one of this voter.
	initial   bool
	vote      vote
	candidate candidate
	suspects  suspectList
}

// New returns a Table for a process that has claimed its seat at the time now and has no units yet.
func New(cfg Config, now tiller.Millis) *Table {
	if cfg.PropagationMillis == 0 {
		cfg.PropagationMillis = DefaultPropagationMillis
	}
	return &Table{cfg: cfg, rules: protocolRules(), now: now, seatClaimedAt: now, units: map[UnitID]*unitState{}}
}

// SetUnits replaces the units by those of the document in force and keeps only the ones that this seat votes on.
// A unit that is new, or whose voters or epoch changed, is not owned, and this voter grants no lease of it until
// the change is in force on every process and the leases granted before it have ended. The epoch identifies the
// voter sets of the document.
func (t *Table) SetUnits(now tiller.Millis, epoch uint64, units []Unit) {
	now = t.advance(now)
	old := t.units
	t.units = map[UnitID]*unitState{}
	t.order = nil
	for _, unit := range units {
		rank := slices.Index(unit.Voters, t.cfg.Seat)
		if rank < 0 || t.units[unit.ID] != nil {
			continue
		}
		u := old[unit.ID]
		if u == nil || epoch != t.epoch || !slices.Equal(u.voters, unit.Voters) {
			u = t.newUnitState(now, epoch, unit, rank)
		}
		t.units[unit.ID] = u
		t.order = append(t.order, u)
	}
	slices.SortFunc(t.order, func(a, b *unitState) int { return a.id.Compare(b.id) })
	t.epoch = epoch
	t.unitsSet = true
}

func (t *Table) newUnitState(now tiller.Millis, epoch uint64, unit Unit, rank int) *unitState {
	return &unitState{
		id:              unit.ID,
		voters:          slices.Clone(unit.Voters),
		rank:            rank,
		epoch:           unitEpoch(epoch, unit.Voters),
		votersHoldUntil: now + lengthenForDrift(t.cfg.PropagationMillis) + LeaseMillis,
		initial:         !t.unitsSet,
		vote:            newVote(now, len(unit.Voters)),
		candidate:       newCandidate(now, len(unit.Voters)),
	}
}

// unitEpoch returns the epoch of one unit. It covers the voters, so that daemons that differ on them
// reject each other's messages even if the epoch of the document is the same.
func unitEpoch(epoch uint64, voters []int) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, epoch)
	for _, v := range voters {
		b = binary.LittleEndian.AppendUint64(b, uint64(v))
	}
	return xxhash.Sum64(b)
}

// Receive handles a message from the seat from and returns the messages to send.
// A message that violates the protocol is ignored.
func (t *Table) Receive(now tiller.Millis, from int, m Message, random uint64) []Envelope {
	now = t.advance(now)
	if t.resigned || from == t.cfg.Seat {
		return nil
	}
	u := t.units[m.Unit]
	if u == nil || u.epoch != m.Epoch {
		return t.receiveMismatch(now, u, from, m, random)
	}
	rank := slices.Index(u.voters, from)
	if rank < 0 {
		return nil
	}
	t.expireLease(now, u)
	if m.Settled && u.initial {
		u.votersHoldUntil = min(u.votersHoldUntil, now)
	}
	switch m.Kind {
	case Request:
		return t.receiveRequest(now, u, rank, m)
	case Release:
		t.receiveRelease(now, u, rank, m)
		return nil
	case Grant, Deny:
		return t.receiveReply(now, u, rank, m, random)
	}
	return nil
}

// receiveMismatch handles a message for a unit that this daemon does not vote on, or of another epoch. A Request
// is denied. A Deny counts as one from a voter that may grant again after RenewMillis.
func (t *Table) receiveMismatch(now tiller.Millis, u *unitState, from int, m Message, random uint64) []Envelope {
	if m.Kind == Request && m.Seat == from {
		deny := Message{Kind: Deny, Unit: m.Unit, Seat: m.Seat, Incarnation: m.Incarnation, SentAt: m.SentAt, Holder: -1}
		if u != nil {
			deny.Epoch = u.epoch
		}
		return []Envelope{{To: from, Message: deny}}
	}
	if m.Kind != Deny || u == nil {
		return nil
	}
	rank := slices.Index(u.voters, from)
	if rank < 0 {
		return nil
	}
	m.Length = RenewMillis
	m.Holder = -1
	return t.receiveReply(now, u, rank, m, random)
}

// Tick performs the actions due at the time now and returns the messages to send.
func (t *Table) Tick(now tiller.Millis, random uint64) []Envelope {
	now = t.advance(now)
	if t.resigned {
		return nil
	}
	var out []Envelope
	for i, u := range t.order {
		t.expireLease(now, u)
		out = append(out, t.tickUnit(now, u, random+uint64(i))...)
	}
	return out
}

// NextWake returns the next time at which Tick is due or Holding changes if no message arrives before;
// Never if there is none.
func (t *Table) NextWake() tiller.Millis {
	wake := Never
	if t.resigned {
		return wake
	}
	for _, u := range t.order {
		wake = min(wake, t.wakeAt(u))
	}
	return wake
}

// Holding returns this daemon's ownership of a unit at the time now.
func (t *Table) Holding(now tiller.Millis, id UnitID) Holding {
	u := t.units[id]
	if u == nil || t.resigned {
		return Holding{Owner: -1}
	}
	if !u.candidate.owned || now >= u.candidate.validUntil {
		return Holding{Owner: u.owner(now)}
	}
	return Holding{
		Owned:      true,
		StartAt:    u.candidate.startAt,
		ValidUntil: u.candidate.validUntil,
		Owner:      t.cfg.Seat,
		HandBack:   u.handBackDue(now),
	}
}

// owner returns the seat that owns a unit as far as this daemon knows from its own vote and from denials,
// for a unit that it does not own itself; -1 when unknown.
func (u *unitState) owner(now tiller.Millis) int {
	if u.vote.heldByOther(now, u.rank) {
		return u.voters[u.vote.rank]
	}
	if now < u.candidate.knownOwnerUntil {
		return u.candidate.knownOwner
	}
	return -1
}

// Release gives up a unit that this daemon owns and invites the next candidate, which requests the lease without
// delay; or it ends a running request for the lease. The caller must have no request of the unit in flight,
// neither from this lease nor from one that expired before.
func (t *Table) Release(now tiller.Millis, id UnitID) []Envelope {
	now = t.advance(now)
	u := t.units[id]
	if u == nil || t.resigned {
		return nil
	}
	t.expireLease(now, u)
	return t.handOver(now, u)
}

// ReleaseAll gives up every unit, as Release does, before a planned stop. After that the daemon requests
// no lease, and continues to vote.
func (t *Table) ReleaseAll(now tiller.Millis) []Envelope {
	now = t.advance(now)
	t.stopping = true
	if t.resigned {
		return nil
	}
	var out []Envelope
	for _, u := range t.order {
		t.expireLease(now, u)
		out = append(out, t.handOver(now, u)...)
	}
	return out
}

// Resign ends all ownership and voting immediately, because the process no longer holds its seat.
func (t *Table) Resign() {
	t.resigned = true
	t.units = map[UnitID]*unitState{}
	t.order = nil
}

// advance returns the time to use: now, or the latest time of an earlier call if now is before it.
func (t *Table) advance(now tiller.Millis) tiller.Millis {
	t.now = max(t.now, now)
	return t.now
}

// noGrantUntil returns the end of the no-grant periods that apply to a unit.
func (t *Table) noGrantUntil(u *unitState) tiller.Millis {
	return max(t.seatClaimedAt+t.rules.seatClaimHold, u.votersHoldUntil)
}
