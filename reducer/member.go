package reducer

import (
	"cmp"
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/limiter"
)

const (
	// firstPauseMillis is the pause after the first failed connection, before jitter. It doubles with each further
	// one in a row.
	firstPauseMillis tiller.Millis = 20
	// longestPauseMillis bounds the pause after failed connections before jitter, and after a shed request.
	longestPauseMillis = tiller.Second
	// shedPauseMillis is the shortest pause after a shed request, so that the request is not sent to the same
	// upstream again at once.
	shedPauseMillis tiller.Millis = 10
	// slowMissedResponses is the number of attempts without a response in a row after which other upstreams are
	// preferred. Three stragglers in a row are unlikely for a healthy upstream.
	slowMissedResponses = 3
	// missingSnapshotMillis is how long an upstream that does not serve a snapshot is avoided for that snapshot.
	missingSnapshotMillis = 3 * tiller.Second
)

// member is the part of an upstream that belongs to one unit.
type member struct {
	unit     *unit
	upstream *upstream
	// removed is set when the document no longer assigns the upstream to the unit's service.
	removed bool
	// excluded is set while a rollout sends no new attempts to the upstream's version.
	excluded bool
	limit    limiter.Limit
	// countedOpen and hasRoom are the states that are included in the unit's counts. hasRoom is set when
	// the member is open, not paused, and below its limit.
	countedOpen bool
	hasRoom     bool
	// reportedWarm is the state that was last reported to the owners of the other units.
	reportedWarm bool

	paused bool
	// failures counts the pauses after failed connections since the last response.
	failures int
	// missedResponses counts the attempts in a row that ended without a response although they ran at least as
	// long as the hedge delay, or up to their deadline.
	missedResponses int
	// orphans is the number of orphaned attempts on the upstream.
	orphans  int
	attempts map[tiller.AttemptID]struct{}
	// waiters are the queries that wait until the member admits requests, by start tag.
	waiters []waiter
	ready   bool
	// missingSnapshots maps a snapshot that the upstream does not serve to the time until which the upstream is
	// avoided for it.
	missingSnapshots map[string]tiller.Millis

	resumeTimer  timer
	quotaTimer   timer
	pendingQuota int
}

// waiter is a query that waits for a member. The member has the given index in the query's plan.
type waiter struct {
	query *query
	index int32
}

// isOpen reports whether the unit may send new attempts to the upstream.
func (m *member) isOpen() bool { return !m.removed && !m.excluded && m.upstream.isOpen() }

// isIdle reports whether no attempt and no orphan is in flight.
func (m *member) isIdle() bool { return len(m.attempts) == 0 && m.orphans == 0 }

// isSlow reports whether other upstreams are preferred because this one misses responses.
func (m *member) isSlow() bool { return m.missedResponses >= slowMissedResponses }

// lacksSnapshot reports whether the upstream is known not to serve a snapshot.
func (m *member) lacksSnapshot(snapshot string, now tiller.Millis) bool {
	return m.missingSnapshots != nil && now < m.missingSnapshots[snapshot]
}

// refresh updates the counts of the unit after a change of a member, and reports its warm state if that changed.
func (s *State) refresh(m *member) {
	open := m.isOpen()
	hasRoom := open && !m.paused && m.limit.Admits()
	m.unit.openMembers += countDelta(m.countedOpen, open)
	m.unit.membersWithRoom += countDelta(m.hasRoom, hasRoom)
	if hasRoom && !m.hasRoom {
		s.markReady(m)
	}
	if open != m.countedOpen {
		s.markDirty(m.unit)
	}
	m.countedOpen, m.hasRoom = open, hasRoom
	if warm := !m.limit.Cold(); warm != m.reportedWarm {
		m.reportedWarm = warm
		s.reportWarmState(m)
	}
}

func countDelta(before, after bool) int {
	switch {
	case after && !before:
		return 1
	case before && !after:
		return -1
	}
	return 0
}

// markReady marks a member that may serve a waiting query at the end of the step.
func (s *State) markReady(m *member) {
	if !m.ready {
		m.ready = true
		m.unit.readyMembers = append(m.unit.readyMembers, m)
	}
	s.markDirty(m.unit)
}

// pause stops new attempts to an upstream for the duration d. It does not shorten a pause in progress.
func (s *State) pause(m *member, d tiller.Millis) {
	if m.resumeTimer.armed && m.resumeTimer.at >= s.now+d {
		return
	}
	m.paused = true
	s.arm(&m.resumeTimer, s.now+d)
	s.refresh(m)
}

// pauseAfterFailure pauses an upstream after a failed connection, with exponential backoff and jitter.
func (s *State) pauseAfterFailure(m *member) {
	if m.paused {
		return
	}
	d := min(firstPauseMillis<<min(m.failures, 10), longestPauseMillis)
	m.failures++
	s.pause(m, d+tiller.Millis(s.nextRandom()%uint64(d)))
}

func (s *State) resume(m *member) {
	m.paused = false
	s.refresh(m)
}

// resetFailures clears the counts of failures after a response.
func (m *member) resetFailures() {
	m.missedResponses = 0
	m.failures = 0
}

// addWaiter adds a query to those that wait for a member, in the order of their start tags.
func (m *member) addWaiter(w waiter) {
	at, _ := slices.BinarySearchFunc(m.waiters, w, compareWaiters)
	m.waiters = slices.Insert(m.waiters, at, w)
}

func (m *member) removeWaiter(q *query) {
	m.waiters = slices.DeleteFunc(m.waiters, func(w waiter) bool { return w.query == q })
}

func compareWaiters(a, b waiter) int {
	return cmp.Or(
		cmp.Compare(a.query.running.startTag, b.query.running.startTag),
		cmp.Compare(a.query.handle, b.query.handle),
	)
}

// growQuota puts a larger quota in force.
func (s *State) growQuota(m *member) {
	m.limit = m.limit.WithQuota(m.pendingQuota, m.limit.ColdAllowance())
	s.refresh(m)
}
