package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/router"
	"github.com/carawaytiller/carawaytiller/tracker"
)

const (
	// warmStateRetryMillis is the interval at which an owner asks again about upstreams that it may not use yet.
	warmStateRetryMillis = tiller.Second
	// warmStateStaleMillis is the time after an indication of a restart during which a report that the upstream is
	// warm is regarded as older than the restart.
	warmStateStaleMillis = tiller.Second
)

// reportWarmState reports a changed member to the owners of the other units of the service, if this unit has the
// cold allowance of the upstream.
func (s *State) reportWarmState(m *member) {
	u := m.unit
	if u.service == nil || u.service.owners == 1 || m.limit.ColdAllowance() == 0 {
		return
	}
	w := WarmState{Unit: u.id}
	if m.reportedWarm {
		w.Warm = []string{m.upstream.spec.Name}
	} else {
		w.Cold = []string{m.upstream.spec.Name}
	}
	for index := range u.service.owners {
		if index != u.id.Index {
			s.sendWarmState(tracker.UnitID{Service: u.id.Service, Index: index}, u.service, w)
		}
	}
}

// sendWarmState sends a message to the owner of a unit, which may be this daemon.
func (s *State) sendWarmState(to tracker.UnitID, sv *service, w WarmState) {
	other := s.unit(to, sv)
	if s.owns(other) {
		s.applyWarmState(other, w)
		return
	}
	if seat, ok := s.likelyOwner(other); ok {
		s.emit(SendWarmState{To: seat, WarmState: w})
	}
}

// likelyOwner returns the last known owner of a unit, else the first voter that is another daemon.
func (s *State) likelyOwner(u *unit) (int, bool) {
	if owner := s.knownOwner(u); owner >= 0 {
		return owner, !s.isSelf(owner)
	}
	for _, seat := range s.votersOf(u) {
		if !s.isSelf(seat) {
			return seat, true
		}
	}
	return 0, false
}

// requestWarmStates asks the owners of the other units about upstreams that this unit may not use yet because
// another unit has the cold allowance. It repeats the request while there are such upstreams.
func (s *State) requestWarmStates(u *unit) {
	if u.work == nil || u.service == nil || u.service.owners == 1 || !s.maySend(u) {
		return
	}
	asked := make([]bool, u.service.owners)
	waiting := false
	for _, m := range u.memberList {
		index := router.ColdUnit(m.upstream.spec.Name, u.service.owners)
		if !m.isOpen() || m.limit.Limit() > 0 || index == u.id.Index {
			continue
		}
		waiting = true
		if !asked[index] {
			asked[index] = true
			s.requestWarmState(u, tracker.UnitID{Service: u.id.Service, Index: index})
		}
	}
	if waiting {
		s.arm(&u.warmStateTimer, s.now+warmStateRetryMillis)
	}
}

func (s *State) requestWarmState(u *unit, of tracker.UnitID) {
	other := s.unit(of, u.service)
	if s.owns(other) {
		if other.work != nil {
			s.applyWarmState(u, other.warmState())
		}
		return
	}
	if seat, ok := s.likelyOwner(other); ok {
		s.emit(SendWarmState{To: seat, WarmState: WarmState{Unit: u.id, Ask: true}})
	}
}

// warmState returns a message with the warm upstreams of which the unit has the cold allowance.
func (u *unit) warmState() WarmState {
	w := WarmState{Unit: u.id}
	for _, m := range u.memberList {
		if m.limit.ColdAllowance() > 0 && !m.limit.Cold() {
			w.Warm = append(w.Warm, m.upstream.spec.Name)
		}
	}
	return w
}

// onWarmState applies or answers a message from the owner of another unit.
func (s *State) onWarmState(e WarmStateReceived) {
	sv, ok := s.services[e.WarmState.Unit.Service]
	if !ok {
		return
	}
	for index := range sv.owners {
		id := tracker.UnitID{Service: sv.spec.Name, Index: index}
		u, ok := s.units[id]
		if !ok || id == e.WarmState.Unit || u.work == nil || !s.owns(u) {
			continue
		}
		if !e.WarmState.Ask {
			s.applyWarmState(u, e.WarmState)
			continue
		}
		if w := u.warmState(); len(w.Warm) > 0 {
			s.emit(SendWarmState{To: e.From, WarmState: w})
		}
	}
}

// applyWarmState allows requests to upstreams that are reported warm, and stops them to upstreams that are
// reported cold. Reports about an upstream are accepted only from the unit with its cold allowance.
func (s *State) applyWarmState(u *unit, w WarmState) {
	if u.work == nil || u.service == nil {
		return
	}
	for _, name := range w.Warm {
		m, ok := s.trustedMember(u, w.Unit, name)
		if ok && m.limit.Limit() == 0 && !m.upstream.isFreshlyRestarted(s.now) {
			m.limit = m.limit.WithWarm()
			s.refresh(m)
		}
	}
	for _, name := range w.Cold {
		if m, ok := s.trustedMember(u, w.Unit, name); ok {
			m.limit = m.limit.WithRestart()
			s.refresh(m)
			s.arm(&u.warmStateTimer, s.now+warmStateRetryMillis)
		}
	}
}

// trustedMember returns the member with the given name, if the unit by has the cold allowance of its upstream.
func (s *State) trustedMember(u *unit, by tracker.UnitID, name string) (*member, bool) {
	m, ok := u.members[name]
	return m, ok && m.limit.ColdAllowance() == 0 && router.ColdUnit(name, u.service.owners) == by.Index
}

// isFreshlyRestarted reports whether a report that the upstream is warm is regarded as stale.
func (u *upstream) isFreshlyRestarted(now tiller.Millis) bool {
	return u.hasRestarted && now-u.restartedAt < warmStateStaleMillis
}
