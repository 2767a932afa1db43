package gatherer

import tiller "github.com/carawaytiller/carawaytiller"

// This file ends all queries before the process ends. A request that comes late in a planned stop is taken only if it
// can end in time, and a query that is still open when the time has come is answered with what is there, or with a
// failure: a connection that is cut tells its client nothing.

// Stopping reports that the process ends at a time at which all queries must have been answered.
type Stopping struct{ By tiller.Millis }

func (Stopping) event() {}

// stop limits the time of the queries in progress.
func (s *State) stop(now tiller.Millis, by tiller.Millis) {
	s.stopBy = by
	for _, q := range s.queries {
		s.limitToStop(q)
		s.evaluate(now, q)
	}
}

// limitToStop ends a query before the process ends.
func (s *State) limitToStop(q *query) {
	if s.stopBy > 0 {
		q.expiresAt = min(q.expiresAt, s.stopBy)
		q.answerBy = min(q.answerBy, q.expiresAt)
	}
}

// endsInTime reports whether a query that has just arrived can be answered before the process ends. One that must not
// run twice needs all of its time, because a failure would leave its client in doubt.
func (s *State) endsInTime(q *query) bool {
	switch {
	case s.stopBy == 0:
		return true
	case !q.route.Repeatable:
		return q.expiresAt <= s.stopBy
	}
	return q.answerBy <= s.stopBy
}
