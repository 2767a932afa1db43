package reducer

import tiller "github.com/carawaytiller/carawaytiller"

const (
	// drainHoldMillis is the time after the last indication that an upstream is draining during which a load
	// report to the contrary is regarded as stale.
	drainHoldMillis = 30 * tiller.Second
	// drainRetentionMillis is how long the state of a draining upstream that the document does not list is kept.
	drainRetentionMillis = 10 * tiller.Minute
	// lossRetentionMillis is how long after the loss of a connection an indication of a restart is related to it.
	lossRetentionMillis = 5 * tiller.Second
	// maxLostDigests bounds the number of lost digests kept for one upstream.
	maxLostDigests = 256
)

// upstream is the state of one upstream that all units share.
type upstream struct {
	spec tiller.Upstream
	// listed is set when the document in force has the upstream.
	listed bool
	// domainOut is set when the failure domain of the upstream is out of service.
	domainOut   bool
	draining    bool
	drainingAt  tiller.Millis
	incarnation int64
	// restartedAt is the time of the last indication of a restart. It is valid when hasRestarted is set.
	restartedAt  tiller.Millis
	hasRestarted bool
	// attributedLossAt is the time of the last loss with attempts outstanding on the lost connection; -1 when
	// there was none. That loss was attributed to the digests of these attempts.
	attributedLossAt tiller.Millis
	// lostDigests are the digests of attempts that ended with a lost connection that is not attributed yet.
	lostDigests []lostDigest
	members     []*member
}

// lostDigest is the digest of an attempt whose connection was lost, and the time of the loss.
type lostDigest struct {
	digest uint64
	at     tiller.Millis
}

// isOpen reports whether new attempts may be sent to the upstream.
func (u *upstream) isOpen() bool {
	return u.listed && !u.domainOut && !u.spec.Leaving && !u.draining
}

// onRestarted handles an indication that an upstream restarted. A restart ends a drain.
func (s *State) onRestarted(e UpstreamRestarted) {
	u, ok := s.knownUpstream(e.Upstream)
	if !ok {
		return
	}
	u.draining = false
	s.handleRestart(u, e.Lost)
}

// handleRestart resets an upstream to its cold allowance, and records a loss if attempts were outstanding or
// connections were lost before.
func (s *State) handleRestart(u *upstream, lost bool) {
	s.count(CountRestart, "", 1)
	if lost || len(u.lostDigests) > 0 {
		s.recordLoss(u, lost)
	}
	s.resetToCold(u)
}

// resetToCold resets the limit of every unit on an upstream to the cold allowance.
func (s *State) resetToCold(u *upstream) {
	u.restartedAt, u.hasRestarted = s.now, true
	for _, m := range u.members {
		m.limit = m.limit.WithRestart()
		s.refresh(m)
	}
}

// detectRestart handles the indications of a restart in a response: a new incarnation, or that the upstream says
// that it is cold. They do not end a drain, because the request was sent before the upstream
// reported that it is draining.
func (s *State) detectRestart(u *upstream, r tiller.SearchResponse) {
	restarted := u.incarnation != 0 && r.Incarnation > u.incarnation
	u.incarnation = max(u.incarnation, r.Incarnation)
	if restarted {
		s.handleRestart(u, false)
		return
	}
	if !r.Cold {
		return
	}
	if len(u.lostDigests) > 0 {
		s.recordLoss(u, false)
	}
	s.resetToCold(u)
}

// onLoad handles a load report. It can only lower the limits of an upstream, or start or end a drain.
func (s *State) onLoad(e LoadReported) {
	u, ok := s.knownUpstream(e.Upstream)
	if !ok {
		return
	}
	switch {
	case e.Draining:
		s.drain(u)
	case u.draining && s.now-u.drainingAt >= drainHoldMillis:
		u.draining = false
		s.resetToCold(u)
		s.refreshMembers(u)
	}
	for _, m := range u.members {
		m.limit = m.limit.WithExcess(e.InFlight - u.spec.Slots)
		s.refresh(m)
	}
}

// drain stops new attempts to an upstream that reported that it is draining.
func (s *State) drain(u *upstream) {
	u.drainingAt = s.now
	if u.draining {
		return
	}
	u.draining = true
	s.refreshMembers(u)
}

// refreshMembers updates the members of an upstream after a change of whether it may get new attempts.
func (s *State) refreshMembers(u *upstream) {
	for _, m := range u.members {
		s.refresh(m)
		if !m.isOpen() {
			s.detachWaiters(m)
		}
	}
}
