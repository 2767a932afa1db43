package gatherer

import (
	"fmt"
	"maps"
	"slices"

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
	for _, id := range slices.Sorted(maps.Keys(s.queries)) {
		q := s.queries[id]
		if q.ended {
			continue
		}
		if !slices.Contains(s.timers, timer{at: q.timerAt, query: q.id}) {
			missing = append(missing, fmt.Sprintf("query %d: its timer for %d is not set", q.id, q.timerAt))
		}
		for what, at := range q.dueTimes(now) {
			if q.timerAt > max(at, now+1) {
				missing = append(missing, fmt.Sprintf("query %d: %s is due at %d, now %d, its timer at %d", q.id, what, at, now, q.timerAt))
			}
			require(at, "query %d: %s", q.id, what)
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

// dueTimes returns the times at which a query must be evaluated again.
func (q *query) dueTimes(now tiller.Millis) map[string]tiller.Millis {
	due := map[string]tiller.Millis{"end": q.expiresAt}
	if q.answerBy > now {
		due["answer"] = q.answerBy
	}
	if q.partAt > 0 {
		due["first part"] = q.partAt
	}
	for _, sh := range q.shards {
		if sh.status == shardOpen && sh.checkAt > 0 {
			due["shard "+sh.service] = sh.checkAt
		}
	}
	return due
}
