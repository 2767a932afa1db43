package reducer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/quarantiner"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// suspectsPerMessage is the maximum number of digests in one lease message.
const suspectsPerMessage = 64

// onLeaseMessage passes a message to the lease protocol, and records the suspected digests that it carries.
func (s *State) onLeaseMessage(e LeaseMessage) {
	for _, suspect := range e.Message.Suspects {
		if s.quarantine.MergeRemote(s.now, quarantiner.Suspect(suspect)) {
			s.block(suspect.Digest)
		}
	}
	if s.cfg.OnLeaseMessage == nil {
		return
	}
	s.leaseVersion++
	s.sendLeases(s.cfg.OnLeaseMessage(s.now, s.nextRandom(), e.From, e.Message))
	if u, ok := s.units[e.Message.Unit]; ok {
		s.onLeaseChange(u)
	}
}

// tickLeases calls OnLeaseTick when it is due.
func (s *State) tickLeases() {
	at := s.nextLeaseTick()
	if s.cfg.OnLeaseTick == nil || at == 0 || at > s.now {
		return
	}
	s.leaseVersion++
	s.sendLeases(s.cfg.OnLeaseTick(s.now, s.nextRandom()))
	for _, u := range s.unitsWithWork {
		s.onLeaseChange(u)
	}
}

// onLeaseChange processes a unit whose lease may have changed. Queries that wait for an owner look for it
// again at once if this daemon owns the unit or another owner than the last known one holds the lease.
func (s *State) onLeaseChange(u *unit) {
	if u.work != nil {
		s.markDirty(u)
	}
	if u.awaitingOwner.len() == 0 {
		return
	}
	if h := s.holding(u); !s.owns(u) && (h.Owner < 0 || h.Owner == u.lastOwner) {
		return
	}
	for _, q := range u.awaitingOwner.items {
		s.arm(&q.timers[timerOwner], s.now)
	}
}

// nextLeaseTick returns the time of the next tick; 0 when none is due.
func (s *State) nextLeaseTick() tiller.Millis {
	if s.cfg.NextLeaseWake == nil {
		return 0
	}
	at := s.cfg.NextLeaseWake()
	if at <= 0 || at == math.MaxInt64 {
		return 0
	}
	return at
}

// sendLeases emits messages of the lease protocol. Requests carry the suspected digests, because a new owner
// must know them.
func (s *State) sendLeases(envelopes []tracker.Envelope) {
	for _, e := range envelopes {
		if e.Message.Kind == tracker.Request {
			e.Message.Suspects = s.suspects()
		}
		s.emit(SendLease{To: e.To, Message: e.Message})
	}
}

func (s *State) suspects() []tracker.Suspect {
	found := s.quarantine.Suspects(s.now, suspectsPerMessage)
	if len(found) == 0 {
		return nil
	}
	suspects := make([]tracker.Suspect, len(found))
	for i, f := range found {
		suspects[i] = tracker.Suspect(f)
	}
	return suspects
}
