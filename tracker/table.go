package tracker

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Unit is a unit of ownership with the seats that vote on its lease, in rank order.
type Unit struct {
	ID     UnitID
	Voters []int
}

// Envelope is a message and the seat that it goes to.
type Envelope struct {
	To      int
	Message Message
}

// Holding tells what a daemon may do with a unit.
type Holding struct {
	// Owned says that this daemon holds the lease.
	Owned bool
	// StartAt is the time from which the owner may send to upstreams.
	StartAt tiller.Millis
	// ValidUntil is the end of the lease on this daemon's clock.
	ValidUntil tiller.Millis
	// Owner is the seat of the last known owner; -1 when unknown.
	Owner int
	// HandBack asks the owner to start nothing new, and to call Release when its running work has ended.
	HandBack bool
}

// Config identifies the daemon of a Table.
type Config struct {
	// Seat is the seat that the process has claimed.
	Seat int
	// Incarnation increases with each claim of the seat.
	Incarnation int64
	// SpreadMillis is the time within which a document is in force everywhere; 0 means DefaultSpreadMillis.
	// A smaller value is safe only where no process goes by an earlier document for longer.
	SpreadMillis tiller.Millis
}

// Table holds a daemon's votes and leases. Its size depends on the number of units
// for which its seat is a voter, and not on the number of seats.
type Table struct {
	cfg       Config
	rules     rules
	now       tiller.Millis
	claimedAt tiller.Millis
	units     map[UnitID]*unitState
	// order lists the units by identifier, so that equal calls have equal results.
	order    []*unitState
	epoch    uint64
	unitsSet bool
	stopping bool
	resigned bool
}

// unitState is what a voter knows about one unit.
type unitState struct {
	id     UnitID
	voters []int
	// rank is the rank of this daemon's seat among the voters.
	rank  int
	epoch uint64
	// opensAt is the end of the no-grant period after a change of the unit's voters.
	votersHoldUntil tiller.Millis
	// first says that the unit is known since the start of the process, so that a peer whose
	// no-grant period is over may end that of this voter.
	initial   bool
	vote      vote
	candidate candidate
	suspects  suspectList
}

// New returns a Table for a process that has claimed its seat at the time now and has no units yet.
func New(cfg Config, now tiller.Millis) *Table {
	if cfg.SpreadMillis == 0 {
		cfg.SpreadMillis = DefaultSpreadMillis
	}
	return &Table{cfg: cfg, rules: protocolRules(), now: now, claimedAt: now, units: map[UnitID]*unitState{}}
}

// SetUnits replaces the units by those of the document in force, of which it keeps the ones that this seat
// votes on. A unit whose voters or epoch changed, or that is new, is not owned, and no lease of it is granted
// until every process must have learnt of the change and the leases granted before have ended.
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
		votersHoldUntil: now + lengthenForDrift(t.cfg.SpreadMillis) + LeaseMillis,
		initial:         !t.unitsSet,
		vote:            newVote(now, len(unit.Voters)),
		candidate:       newCandidate(now, len(unit.Voters)),
	}
}

// unitEpoch returns the epoch of one unit, so that daemons that differ on its voters
// refuse each other's messages even where the epoch of the document is the same.
func unitEpoch(epoch uint64, voters []int) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, epoch)
	for _, v := range voters {
		b = binary.LittleEndian.AppendUint64(b, uint64(v))
	}
	return xxhash.Sum64(b)
}

// Receive handles a message from the seat from and returns the messages that follow from it.
// A message that does not fit the protocol is ignored.
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

// receiveForeign handles a message about a unit or under an epoch that this daemon does not go by.
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

// Tick does what is due at the time now and returns the messages that follow from it.
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

// NextWake returns the time at which Tick has something to do or Holding changes, unless a message comes before;
// Never when there is nothing.
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

// Holding tells what this daemon may do with a unit at the time now.
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

// owner returns the seat that is thought to own a unit that this daemon does not own; -1 when unknown.
func (u *unitState) owner(now tiller.Millis) int {
	if u.vote.heldByOther(now, u.rank) {
		return u.voters[u.vote.rank]
	}
	if now < u.candidate.knownOwnerUntil {
		return u.candidate.knownOwner
	}
	return -1
}

// Release gives up a unit whose work has ended, or the attempt to get it, and invites the next candidate,
// which starts without the waiting time. The caller has no request of the unit in flight, also none
// from before a lapse of the lease.
func (t *Table) Release(now tiller.Millis, id UnitID) []Envelope {
	now = t.advance(now)
	u := t.units[id]
	if u == nil || t.resigned {
		return nil
	}
	t.expireLease(now, u)
	return t.handOver(now, u)
}

// ReleaseAll gives up every unit, as Release does, before a planned stop. The daemon asks
// for no lease after that, and goes on voting.
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

// Resign ends all ownership and voting at once, because the process no longer holds its seat.
func (t *Table) Resign() {
	t.resigned = true
	t.units = map[UnitID]*unitState{}
	t.order = nil
}

// advance returns the time to go by: now, or the last time seen if now is before that.
func (t *Table) advance(now tiller.Millis) tiller.Millis {
	t.now = max(t.now, now)
	return t.now
}

// grantsFrom returns the end of the no-grant periods that apply to a unit.
func (t *Table) noGrantUntil(u *unitState) tiller.Millis {
	return max(t.claimedAt+t.rules.seatClaimHold, u.votersHoldUntil)
}
