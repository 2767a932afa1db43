package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/queuer"
)

// timerKind identifies the action of a timer.
type timerKind uint8

const (
	// timerReply ends a query at the latest time for its reply.
	timerReply timerKind = iota
	// timerHedge hedges attempts that take longer than the hedge delay.
	timerHedge
	// timerStraggler ends the straggler wait.
	timerStraggler
	// timerRetry places delayed shards again.
	timerRetry
	// timerExpiry fails attempts whose deadline is limited by the end of the lease.
	timerExpiry
	// timerOwner looks again for the owner of a unit.
	timerOwner
	queryTimerKinds
)

const (
	// timerLease processes a unit when its lease begins or ends.
	timerLease timerKind = iota + queryTimerKinds
	// timerResume ends the pause of an upstream after a failed connection or a shed request.
	timerResume
	// timerQuota puts a larger quota in force.
	timerQuota
	// timerOrphan takes an orphaned attempt from the limit of its upstream.
	timerOrphan
	// timerRollout evaluates the evidence of a rollout.
	timerRollout
	// timerWarmState asks other units again which upstreams are warm.
	timerWarmState
)

// timer is an action that is due at a time. It is a field of the struct that it acts on.
type timer struct {
	at       tiller.Millis
	sequence uint64
	// position is the index in the heap. It is valid while the timer is armed.
	position int
	armed    bool
	kind     timerKind
	query    *query
	unit     *unit
	member   *member
	attempt  tiller.AttemptID
}

func newTimers() *queuer.Heap[*timer] {
	return queuer.NewHeap(
		func(a, b *timer) bool {
			if a.at != b.at {
				return a.at < b.at
			}
			return a.sequence < b.sequence
		},
		func(t *timer, position int) {
			t.position = position
			t.armed = position >= 0
		},
	)
}

// arm sets the time at which a timer is due, and replaces an earlier setting.
func (s *State) arm(t *timer, at tiller.Millis) {
	if t.armed && t.at == at {
		return
	}
	s.lastTimer++
	t.sequence = s.lastTimer
	t.at = at
	if t.armed {
		s.timers.Fix(t.position)
		return
	}
	s.timers.Push(t)
}

func (s *State) disarm(t *timer) {
	if t.armed {
		s.timers.Remove(t.position)
	}
}

// fireTimers runs the timers that are due. A timer that is armed again while it fires is due at a later time.
func (s *State) fireTimers() {
	for s.timers.Len() > 0 && s.timers.Min().at <= s.now {
		s.fire(s.timers.Remove(0))
	}
}

func (s *State) fire(t *timer) {
	switch t.kind {
	case timerReply:
		s.onReplyDue(t.query)
	case timerHedge:
		s.onHedgeDue(t.query)
	case timerStraggler:
		s.conclude(t.query)
	case timerRetry:
		s.onRetryDue(t.query)
	case timerExpiry:
		s.onExpiry(t.query)
	case timerOwner:
		s.onOwnerDue(t.query)
	case timerLease:
		s.markDirty(t.unit)
	case timerResume:
		s.resume(t.member)
	case timerQuota:
		s.growQuota(t.member)
	case timerOrphan:
		s.releaseOrphan(t.attempt)
	case timerRollout:
		s.onRolloutDue(t.unit)
	case timerWarmState:
		s.requestWarmStates(t.unit)
	}
}

// scheduleWake emits a Wake for the time of the next timer or lease tick, unless one for that time or an earlier
// one is outstanding.
func (s *State) scheduleWake() {
	at := s.nextLeaseTick()
	if s.timers.Len() > 0 && (at == 0 || s.timers.Min().at < at) {
		at = s.timers.Min().at
	}
	if at == 0 {
		return
	}
	at = max(at, s.now+1)
	if s.wakeAt == 0 || at < s.wakeAt {
		s.wakeAt = at
		s.emit(Wake{Time: at})
	}
}

// armEarlier makes a timer due at a time, unless it is already due before that.
func (s *State) armEarlier(t *timer, at tiller.Millis) {
	if !t.armed || t.at > at {
		s.arm(t, at)
	}
}
