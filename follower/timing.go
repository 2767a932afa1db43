package follower

import tiller "github.com/carawaytiller/carawaytiller"

// Timing derives the intervals of a Follower from its notice time, within which it must notice a
// change. Store calls are billed, so none is made earlier than the notice time requires.
type Timing struct{ noticeWithin tiller.Millis }

const (
	// minNoticeMillis and maxNoticeMillis limit the notice time: a watch shorter than a third of a
	// second would spend most of its time on the network, and a dead connection is detected only when
	// its watch ends.
	minNoticeMillis = 1500 * tiller.Millis(1)
	maxNoticeMillis = 6000 * tiller.Millis(1)
	// defaultNoticeMillis is the notice time if the operators set none.
	defaultNoticeMillis = 3000 * tiller.Millis(1)
	// batchDelayMillis is the shortest pause between two watches, in which consecutive changes
	// accumulate.
	batchDelayMillis = 150
	// staggerMillis is the time that a daemon needs to read the store when it takes over the watch of
	// a region.
	staggerMillis = 150
	// maxStaggeredRanks is the number of ranks that each wait longer than the rank before. With more
	// of them, the last ranks would notice a change too late.
	maxStaggeredRanks = 2
	// storeRetryMillis is the initial interval between calls to a failing store.
	storeRetryMillis = 500
)

// NewTiming returns the Timing for a notice time, which is raised or lowered into the supported range.
// 0 selects the default.
func NewTiming(within tiller.Millis) Timing {
	if within <= 0 {
		within = defaultNoticeMillis
	}
	return Timing{noticeWithin: min(max(within, minNoticeMillis), maxNoticeMillis)}
}

// WatchWait returns how long a watch of the store waits for changes, after n consecutive watches that
// returned some. The wait is shorter while changes arrive, because a watch that then returns none has
// probably stalled.
func (t Timing) WatchWait(n int) tiller.Millis {
	if n > 0 {
		return t.noticeWithin / 8
	}
	return t.noticeWithin / 3
}

// MaxAge returns the age from which the data of another daemon is not used by the daemon of the given
// rank in its region. It is longer than a watch of a slow store and a pause together, and leaves time
// to call the store instead. It grows with the rank: when a watch stalls, the daemon that ranks next
// starts to watch the store before the others give up on the first one, and they follow it.
func (t Timing) MaxAge(rank int) tiller.Millis {
	return t.noticeWithin*3/5 + staggerMillis*tiller.Millis(min(max(rank-1, 0), maxStaggeredRanks))
}

// BatchDelay returns the pause after the nth consecutive watch that returned changes. It grows with n,
// because otherwise each change of a series would end a watch.
func (t Timing) BatchDelay(n int) tiller.Millis {
	return min(batchDelayMillis<<min(n, 4), t.noticeWithin/10)
}

// StoreRetryDelay returns the pause before a failing store is called again. n is the number of
// consecutive failures before the last one, silentFor the time since the store last answered this
// daemon. The first retry after a recent answer is early, because possibly only one connection is
// dead.
func (t Timing) StoreRetryDelay(n int, silentFor tiller.Millis) tiller.Millis {
	if n == 0 && silentFor < t.noticeWithin {
		return retryMillis / 2 // the shortest pause of backoff.wait
	}
	return min(storeRetryMillis<<min(n, 4), t.noticeWithin/3)
}
