package follower

import tiller "github.com/carawaytiller/carawaytiller"

// Pace holds the times of a Follower that follow from the time within which a change must be noticed.
// Each call of the store is priced, so none is made sooner than that time requires.
type Pace struct{ within tiller.Millis }

const (
	// minWithin and maxWithin bound the time that is worked with: watches shorter than a third of a
	// second are mostly the way, and a connection that went silent is found when its watch ends.
	minWithin = 1500 * tiller.Millis(1)
	maxWithin = 6000 * tiller.Millis(1)
	// defaultWithin is the time where the operators name none.
	defaultWithin = 3000 * tiller.Millis(1)
	// gatherMillis is the shortest pause between two watches, in which changes gather that come in a row.
	gatherMillis = 150
	// staggerMillis is the time that a daemon which takes over a region needs to read the store.
	staggerMillis = 150
	// maxStagger bounds the ranks that wait longer than the one before. The others would notice a change too late.
	maxStagger = 2
	// tryStoreMillis is the time between the first two calls of a store that fails.
	tryStoreMillis = 500
)

// NewPace returns the Pace at which changes are noticed within a time; 0 stands for the default.
func NewPace(within tiller.Millis) Pace {
	if within <= 0 {
		within = defaultWithin
	}
	return Pace{within: min(max(within, minWithin), maxWithin)}
}

// Watch returns the time that one watch of the store waits for changes, after n watches in a row that
// brought some. While changes come, a watch that hears of none has probably gone silent.
func (p Pace) Watch(n int) tiller.Millis {
	if n > 0 {
		return p.within / 8
	}
	return p.within / 3
}

// Stale returns the age of another daemon's knowledge from which the daemon of a rank in its region does
// not follow it. It is above the time of a watch of a slow store and a pause, and leaves time to ask the
// store instead. It grows with the rank: when a watch goes silent, the daemon that ranks next watches the
// store before the others give the first one up, and they follow it.
func (p Pace) Stale(rank int) tiller.Millis {
	return p.within*3/5 + staggerMillis*tiller.Millis(min(max(rank-1, 0), maxStagger))
}

// Gather returns the pause after a watch that was the nth in a row to bring changes. It grows, because
// each change of a series would otherwise end a watch.
func (p Pace) Gather(n int) tiller.Millis {
	return min(gatherMillis<<min(n, 4), p.within/10)
}

// TryStore returns the pause before a store that has failed n times in a row, and that answered this
// daemon silentFor ago, is called again. After a recent answer one connection may have gone silent.
func (p Pace) TryStore(n int, silentFor tiller.Millis) tiller.Millis {
	if n == 0 && silentFor < p.within {
		return retryMillis / 2 // the shortest pause after a failed call
	}
	return min(tryStoreMillis<<min(n, 4), p.within/3)
}
