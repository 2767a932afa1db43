package gatherer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// hedgeFactor is the multiple of the median latency that few answers exceed when their upstream
	// does not pause.
	hedgeFactor = 2.0
	// hedgeSlackMillis is added to that, for late timers and short queues.
	hedgeSlackMillis = 6.0
	// confirmPauseMillis is the wait before a further request of a sub-query that is not confirmed is
	// looked at again; the confirmation looks at it as well.
	confirmPauseMillis = 25
	// shedPauseMillis is the wait before an upstream that has turned a request away is asked again.
	shedPauseMillis = 12
	// acceptFactor and acceptMillis bound the time in which another daemon accepts a sub-query, as a
	// multiple of the time on the way and a time for late timers and a busy processor.
	acceptFactor      = 1.5
	acceptSlackMillis = 60
	// lateMillis is the delay of an own timer from which this daemon counts as the late one.
	timerLateMillis = 8
	// peerMarginMillis is kept for a reply that is late on its way.
	replyMarginMillis = 6
	// minPeerMillis is the least time that a daemon gets for a sub-query.
	minSubQueryMillis = 30
)

// hedgeTime returns the time at which a second request for a shard is due: when few answers would
// still come, and not so late that the second could not be in time.
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

// within returns the time that a daemon has for a sub-query whose reply is to be in time.
func (q *query) subQueryTarget(now tiller.Millis, p *peer) tiller.Millis {
	return max(q.answerBy-now-tiller.Millis(p.rtt)-replyMarginMillis, minSubQueryMillis)
}
