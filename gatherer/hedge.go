package gatherer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// hedgeFactor is the multiple of the median latency that few answers exceed unless their upstream pauses.
	hedgeFactor = 2.0
	// hedgeSlackMillis is added to it for late timers and short queues.
	hedgeSlackMillis = 6.0
	// confirmPauseMillis is the wait before an unconfirmed sub-query checks again whether it may send a further
	// request. The confirmation triggers the same check.
	confirmPauseMillis = 25
	// shedPauseMillis is the wait before a request is sent again to an upstream that shed it.
	shedPauseMillis = 12
	// acceptFactor and acceptSlackMillis bound the time in which another daemon must accept a sub-query: a
	// multiple of the round-trip time, plus a margin for late timers and a busy processor.
	acceptFactor      = 1.5
	acceptSlackMillis = 60
	// timerLateMillis is the delay above which a timer of this daemon counts as late.
	timerLateMillis = 8
	// replyMarginMillis is the margin for a reply that the network delays.
	replyMarginMillis = 6
	// minSubQueryMillis is the minimum time that a daemon gets for a sub-query.
	minSubQueryMillis = 30
)

// hedgeTime returns the time at which a second request for a shard is due, or 0 if the route is not
// repeatable. By then few first requests are still unanswered, and the second answer can still be in time.
func (s *State) hedgeTime(now tiller.Millis, sh *shard, u *upstream, expected float64) tiller.Millis {
	if !sh.query.route.Repeatable {
		return 0
	}
	delay := hedgeFactor*s.expectedLatency(now, u, sh.query) + hedgeSlackMillis
	near, far := s.cheapestByRegion(now, sh, false)
	if other := cheaper(near, far); other.upstream != nil {
		latest := float64(sh.query.answerBy-now) - s.expectedLatency(now, other.upstream, sh.query) - hedgeSlackMillis
		delay = math.Min(delay, math.Max(latest, 1.2*expected))
	}
	return now + tiller.Millis(delay)
}

// subQueryTarget returns the time in which a daemon must answer a sub-query for its reply to be in time.
func (q *query) subQueryTarget(now tiller.Millis, p *peer) tiller.Millis {
	return max(q.answerBy-now-tiller.Millis(p.rtt)-replyMarginMillis, minSubQueryMillis)
}
