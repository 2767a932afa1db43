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
	slowStrikes = 3
	// lostSnapshotMillis is the time for which a replica that lost its snapshot is avoided for it.
	lostSnapshotMillis = 3 * tiller.Second
)

// member is the part of an upstream that belongs to one unit. Its limit is replaced as a whole.
type member struct {
	unit     *unit
	upstream *upstream
	// gone says that the unit no longer uses the upstream.
	gone bool
	// barred says that a rollout gives the upstream's version no new attempts.
	barred bool
	limit  limiter.Limit
	// open and roomy are as the unit's counts have them.
	open  bool
	roomy bool
	// warm is as the owners of the other units were told.
	warm bool

	paused bool
	pauses int
	// strikes counts the attempts in a row that ended without a response.
	strikes int
	// orphans is the number of attempts in flight that belong to no query any more.
	orphans  int
	attempts map[tiller.AttemptID]struct{}
	// waiting are the queries that wait for room, by start tag.
	waiting []wait
	freed   bool
	// lost holds the snapshots that the upstream does not serve, and until when they are avoided.
	lost map[string]tiller.Millis

	resumeTimer timer
	quotaTimer  timer
	grownQuota  int
}

// wait is a query that waits for a member, which is the upstream with the given index of its plan.
type wait struct {
	query *query
	index int32
}

// isOpen says whether the unit may send new attempts to the upstream.
func (m *member) isOpen() bool { return !m.gone && !m.barred && m.upstream.isOpen() }

// isIdle says whether nothing is in flight.
func (m *member) isIdle() bool { return len(m.attempts) == 0 && m.orphans == 0 }

// isSlow says whether other upstreams are preferred because this one has stopped responding.
func (m *member) isSlow() bool { return m.strikes >= slowStrikes }

// lacks says whether the upstream is known not to serve a snapshot.
func (m *member) lacks(snapshot string, now tiller.Millis) bool {
	return m.lost != nil && now < m.lost[snapshot]
}

// refresh brings the counts of the unit up to date after a change of a member.
func (s *State) refresh(m *member) {
	open := m.isOpen()
	roomy := open && !m.paused && m.limit.Admits()
	m.unit.open += change(m.open, open)
	m.unit.roomy += change(m.roomy, roomy)
	if roomy && !m.roomy {
		s.free(m)
	}
	if open != m.open {
		s.touch(m.unit)
	}
	m.open, m.roomy = open, roomy
	if warm := !m.limit.Cold(); warm != m.warm {
		m.warm = warm
		s.warmthChanged(m)
	}
}

func change(before, after bool) int {
	switch {
	case after && !before:
		return 1
	case before && !after:
		return -1
	}
	return 0
}

// free marks a member that may serve a waiting query.
func (s *State) free(m *member) {
	if !m.freed {
		m.freed = true
		m.unit.freed = append(m.unit.freed, m)
	}
	s.touch(m.unit)
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
	d := min(firstPauseMillis<<min(m.pauses, 10), longestPauseMillis)
	m.pauses++
	s.pause(m, d+tiller.Millis(s.draw()%uint64(d)))
}

func (s *State) resume(m *member) {
	m.paused = false
	s.refresh(m)
}

// responded takes a response as a sign that the upstream works.
func (m *member) responded() {
	m.strikes = 0
	m.pauses = 0
}

// enqueue adds a query to those that wait for a member.
func (m *member) enqueue(w wait) {
	at, _ := slices.BinarySearchFunc(m.waiting, w, compareWaits)
	m.waiting = slices.Insert(m.waiting, at, w)
}

func (m *member) dequeue(q *query) {
	m.waiting = slices.DeleteFunc(m.waiting, func(w wait) bool { return w.query == q })
}

func compareWaits(a, b wait) int {
	return cmp.Or(
		cmp.Compare(a.query.running.tag, b.query.running.tag),
		cmp.Compare(a.query.handle, b.query.handle),
	)
}

// growQuota puts a larger quota in force.
func (s *State) growQuota(m *member) {
	m.limit = m.limit.WithQuota(m.grownQuota, m.limit.ColdAllowance())
	s.refresh(m)
}
