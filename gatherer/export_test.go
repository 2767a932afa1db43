package gatherer

import (
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
)

// UnscheduledWork returns the work that is due at some time without a timer for that time or an earlier one. Work that
// is due already may wait for the next millisecond.
func (s *State) UnscheduledWork(now tiller.Millis) []string {
	var missing []string
	next, ok := s.NextTimer()
	require := func(at tiller.Millis, format string, args ...any) {
		if !ok || next > max(at, now+1) {
			missing = append(missing, fmt.Sprintf(format, args...)+fmt.Sprintf(": due at %d, now %d, next timer %d %t", at, now, next, ok))
		}
	}
	scheduled := make(map[uint64]bool, len(s.queries))
	for _, t := range s.timers {
		if q, ok := s.queries[t.query]; ok && q.timerAt == t.at {
			scheduled[q.id] = true
		}
	}
	for _, q := range s.queries {
		if q.ended {
			continue
		}
		if !scheduled[q.id] {
			missing = append(missing, fmt.Sprintf("query %d: its timer for %d is not set", q.id, q.timerAt))
		}
		if at, what := q.nextDue(now); q.timerAt > max(at, now+1) {
			missing = append(missing, fmt.Sprintf("query %d: %s is due at %d, now %d, its timer at %d", q.id, what, at, now, q.timerAt))
		}
	}
	for _, r := range s.sortedRollouts() {
		if !r.state.IsFinal() {
			require(now+reportMillis, "report on the rollout of %s", r.Service)
		}
		if r.unannounced {
			require(now, "announcement of the rollout of %s", r.Service)
		}
		if r.needsPublishing() {
			require(max(r.publishAt, now), "publication of the rollout of %s", r.Service)
		}
		if at, ok := r.nextDecision(now, s.decisionDelay()); ok {
			require(at, "decision on the rollout of %s", r.Service)
		}
	}
	for id, l := range s.unclear {
		if !l.probed {
			require(l.at+unclearMillis, "probe of %s", id)
		}
	}
	if s.reportSuspects {
		require(now+suspectReportMillis, "report on suspects")
	}
	if s.announceBlocked {
		require(now, "announcement of blocked requests")
	}
	if s.awaitsFirstReport() {
		require(now+firstReportMillis, "question of a daemon that has just started")
	}
	for _, p := range s.sortedPeers() {
		if p.missedReport {
			require(p.reportsFrom, "report that %s missed", p.VM)
		}
	}
	return missing
}

// nextDue returns the time at which a query must be evaluated again, and what is due then.
func (q *query) nextDue(now tiller.Millis) (tiller.Millis, string) {
	at, what := q.expiresAt, "its end"
	if q.answerBy > now && q.answerBy < at {
		at, what = q.answerBy, "its answer"
	}
	if q.partAt > 0 && q.partAt < at {
		at, what = q.partAt, "its first part"
	}
	for _, sh := range q.shards {
		if sh.status == shardOpen && sh.checkAt > 0 && sh.checkAt < at {
			at, what = sh.checkAt, sh.service
		}
	}
	return at, what
}
