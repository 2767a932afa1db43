package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/queuer"
)

// timerKind tells what is due.
type timerKind uint8

const (
	// timerEnd ends a query just before its deadline.
	timerReply timerKind = iota
	// timerHedge looks for attempts that are slower than the hedge time.
	timerHedge
	// timerStraggler ends the straggler wait.
	timerStraggler
	// timerRetry sends failed shards again.
	timerRetry
	// timerExpiry ends attempts whose deadline was clipped to the end of the lease.
	timerExpiry
	// timerOwner looks again for the owner of a unit.
	timerOwner
	queryTimerKinds
)

const (
	// timerUnit looks at a unit when its lease begins or ends.
	timerLease timerKind = iota + queryTimerKinds
	// timerResume ends the pause of an upstream after a failure.
	timerResume
	// timerQuota puts a larger quota in force.
	timerQuota
	// timerOrphan frees the place of an attempt that nobody waits for.
	timerOrphan
	// timerRollout looks at the evidence of a rollout.
	timerRollout
	// timerWarmth asks again which upstreams are warm.
	timerWarmState
)

// timer is something due at a time. It is part of the entry that it belongs to.
type timer struct {
	at       tiller.Millis
	sequence uint64
	// position is the place in the heap; it counts only while armed.
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

// arm makes a timer due at a time, which replaces an earlier one.
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

// fireTimers does what is due. A timer that is armed again while it fires is due at a later time.
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

// wake asks for a TimeAdvanced at the time of the next timer or lease tick,
// unless an earlier one is outstanding.
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

// armEarlier makes a timer due at a time, unless it is due before.
func (s *State) armEarlier(t *timer, at tiller.Millis) {
	if !t.armed || t.at > at {
		s.arm(t, at)
	}
}
