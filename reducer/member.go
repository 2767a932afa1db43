package reducer

import (
	"cmp"
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/limiter"
)

const (
	// firstPauseMillis is the pause after the first failed connection; it doubles with each further one.
	firstPauseMillis tiller.Millis = 20
	// longestPauseMillis bounds the pause after failed connections.
	longestPauseMillis = tiller.Second
	// shedPauseMillis is the pause after a shed request without a hint, so that
	// it is not sent to the same upstream at once.
	shedPauseMillis tiller.Millis = 10
	// slowStrikes is the number of attempts without a response in a row after which other upstreams are
	// preferred. Three stragglers in a row are not to be expected of a healthy upstream.
	slowMissedResponses = 3
	// lostSnapshotMillis is the time for which a replica that lost its snapshot is avoided for it.
	missingSnapshotMillis = 3 * tiller.Second
)

// member is the part of an upstream that belongs to one unit. Its limit is replaced as a whole.
type member struct {
	unit     *unit
	upstream *upstream
	// gone says that the unit no longer uses the upstream.
	removed bool
	// barred says that a rollout gives the upstream's version no new attempts.
	excluded bool
	limit    limiter.Limit
	// open and roomy are as the unit's counts have them.
	countedOpen bool
	hasRoom     bool
	// warm is as the owners of the other units were told.
	reportedWarm bool

	paused   bool
	failures int
	// strikes counts the attempts in a row that ended without a response.
	missedResponses int
	// orphans is the number of attempts in flight that belong to no query any more.
	orphans  int
	attempts map[tiller.AttemptID]struct{}
	// waiting are the queries that wait for room, by start tag.
	waiters []waiter
	ready   bool
	// lost holds the snapshots that the upstream does not serve, and until when they are avoided.
	missingSnapshots map[string]tiller.Millis

	resumeTimer  timer
	quotaTimer   timer
	pendingQuota int
}

// wait is a query that waits for a member, which is the upstream with the given index of its plan.
type waiter struct {
	query *query
	index int32
}

// isOpen says whether the unit may send new attempts to the upstream.
func (m *member) isOpen() bool { return !m.removed && !m.excluded && m.upstream.isOpen() }

// isIdle says whether nothing is in flight.
func (m *member) isIdle() bool { return len(m.attempts) == 0 && m.orphans == 0 }

// isSlow says whether other upstreams are preferred because this one has stopped responding.
func (m *member) isSlow() bool { return m.missedResponses >= slowMissedResponses }

// lacks says whether the upstream is known not to serve a snapshot.
func (m *member) lacksSnapshot(snapshot string, now tiller.Millis) bool {
	return m.missingSnapshots != nil && now < m.missingSnapshots[snapshot]
}

// refresh brings the counts of the unit up to date after a change of a member.
func (s *State) refresh(m *member) {
	open := m.isOpen()
	roomy := open && !m.paused && m.limit.Admits()
	m.unit.openMembers += countDelta(m.countedOpen, open)
	m.unit.membersWithRoom += countDelta(m.hasRoom, roomy)
	if roomy && !m.hasRoom {
		s.markReady(m)
	}
	if open != m.countedOpen {
		s.markDirty(m.unit)
	}
	m.countedOpen, m.hasRoom = open, roomy
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

// free marks a member that may serve a waiting query.
func (s *State) markReady(m *member) {
	if !m.ready {
		m.ready = true
		m.unit.readyMembers = append(m.unit.readyMembers, m)
	}
	s.markDirty(m.unit)
}

// pause keeps new attempts from an upstream for a while.
func (s *State) pause(m *member, d tiller.Millis) {
	if m.resumeTimer.armed && m.resumeTimer.at >= s.now+d {
		return
	}
	m.paused = true
	s.arm(&m.resumeTimer, s.now+d)
	s.refresh(m)
}

// pauseAfterFailure pauses an upstream for longer with each failed connection in a row.
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

// responded takes a response as a sign that the upstream works.
func (m *member) resetFailures() {
	m.missedResponses = 0
	m.failures = 0
}

// enqueue adds a query to those that wait for a member.
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
