package reducer

import tiller "github.com/carawaytiller/carawaytiller"

const (
	// drainHoldMillis is the time after an upstream's last sign of draining during which
	// a load report that says otherwise is taken to be stale.
	drainHoldMillis = 30 * tiller.Second
	// drainMemoryMillis is the time for which a draining upstream is remembered that the document does not list.
	drainRetentionMillis = 10 * tiller.Minute
	// lossMemoryMillis is the time during which a lost connection is matched with later signs of a restart.
	lossRetentionMillis = 5 * tiller.Second
	// lossMemory bounds the number of digests kept for that.
	maxLostDigests = 256
)

// upstream is what is known of one upstream. Its document entry is replaced as a whole.
type upstream struct {
	spec tiller.Upstream
	// listed says that the document in force has the upstream.
	listed bool
	// out says that its failure domain is out.
	domainOut   bool
	draining    bool
	drainingAt  tiller.Millis
	incarnation int64
	// restartedAt is the time of the last sign of a restart; it counts when hasRestarted is set.
	restartedAt  tiller.Millis
	hasRestarted bool
	// lostAt is the time of the last loss that was attributed to digests; -1 when there was none.
	attributedLossAt tiller.Millis
	// lost are the digests of attempts that ended with a lost connection and were not attributed yet.
	lostDigests []lostDigest
	members     []*member
}

// lostDigest is the digest of a request whose connection was lost.
type lostDigest struct {
	digest uint64
	at     tiller.Millis
}

// isOpen says whether the upstream may get new attempts.
func (u *upstream) isOpen() bool {
	return u.listed && !u.domainOut && !u.spec.Leaving && !u.draining
}

// onRestarted takes a refused or reset connection as a sign that the upstream is cold.
func (s *State) onRestarted(e UpstreamRestarted) {
	u, ok := s.knownUpstream(e.Upstream)
	if !ok {
		return
	}
	u.draining = false
	s.handleRestart(u, e.Lost)
}

// restart returns the limits of an upstream to the cold allowance.
func (s *State) handleRestart(u *upstream, lost bool) {
	s.count(CountRestart, "", 1)
	if lost || len(u.lostDigests) > 0 {
		s.recordLoss(u, lost)
	}
	s.resetToCold(u)
}

// chill returns the limits of every unit on an upstream to what it may get when cold.
func (s *State) resetToCold(u *upstream) {
	u.restartedAt, u.hasRestarted = s.now, true
	for _, m := range u.members {
		m.limit = m.limit.WithRestart()
		s.refresh(m)
	}
}

// noteResponse takes the signs of a restart from a response. They do not end a drain, because the request
// was sent before the upstream said that it is draining.
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

// onLoad takes a load report, which can only lower what an upstream gets.
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

// drain stops new work to an upstream that says that it is draining.
func (s *State) drain(u *upstream) {
	u.drainingAt = s.now
	if u.draining {
		return
	}
	u.draining = true
	s.refreshMembers(u)
}

// reopen looks again at everything that depends on whether the upstream may get new attempts.
func (s *State) refreshMembers(u *upstream) {
	for _, m := range u.members {
		s.refresh(m)
		if !m.isOpen() {
			s.detachWaiters(m)
		}
	}
}
