package tracker

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Lengths of time of the lease protocol, in milliseconds.
const (
	// LeaseMillis is the length of a lease on the voter's clock.
	LeaseMillis tiller.Millis = 1200
	// RenewMillis is the interval between two renewals by an owner.
	RenewMillis tiller.Millis = 300
	// GraceMillis is the time after the end of a lease within which the requests sent under it end.
	GraceMillis tiller.Millis = 300
	// RankDelayMillis is how much longer each lower-ranked candidate waits before it asks for a free lease.
	RankDelayMillis tiller.Millis = 200
	// ReplyTimeoutMillis is how long a candidate waits for the voters' replies. It allows for a round trip between regions.
	ReplyTimeoutMillis tiller.Millis = 150
	// BackoffMinMillis and BackoffMaxMillis bound the random pause after a round that no candidate may have won.
	BackoffMinMillis tiller.Millis = 50
	// BackoffMaxMillis is the longest such pause.
	BackoffMaxMillis tiller.Millis = 150
	// HandBackMillis is how long the first-ranked candidate is reachable before a lower-ranked owner hands back to it.
	HandBackMillis tiller.Millis = 30_000
	// DefaultSpreadMillis is the time within which a document is in force everywhere at the target size.
	DefaultSpreadMillis tiller.Millis = 6000
	// Never is a time that is not reached.
	Never tiller.Millis = math.MaxInt64
)

// MaxClockDriftPercent is how much faster or slower than true time a clock may run, in 100.
const MaxClockDriftPercent = 1

// rules are the parts of the protocol on which its safety rests. Tests replace them
// to show that the invariants fail without them.
type rules struct {
	// claimHold is the no-grant period after a process has claimed its seat.
	seatClaimHold tiller.Millis
	// majority returns how many of the voters an owner needs.
	majority func(voters int) int
	// leaseFrom returns the time from which the owner counts a grant.
	leaseStart func(sentAt, receivedAt tiller.Millis) tiller.Millis
}

func protocolRules() rules {
	return rules{
		seatClaimHold: LeaseMillis,
		majority:      func(voters int) int { return voters/2 + 1 },
		leaseStart:    func(sentAt, _ tiller.Millis) tiller.Millis { return sentAt },
	}
}

// shrink returns a length on one clock that has passed there no later than d has passed on any other,
// with 1 ms for the rounding of the other clock.
func shortenForDrift(d tiller.Millis) tiller.Millis {
	return (d - 1) * (100 - MaxClockDriftPercent) / (100 + MaxClockDriftPercent)
}

// stretch returns a length on one clock that has passed there no sooner than d has passed on any other,
// with 1 ms for the rounding of the other clock.
func lengthenForDrift(d tiller.Millis) tiller.Millis {
	if d <= 0 {
		return 0
	}
	const slow = 100 - MaxClockDriftPercent
	return (d*(100+MaxClockDriftPercent)+slow-1)/slow + 1
}
