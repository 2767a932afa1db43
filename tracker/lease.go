package tracker

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Durations of the lease protocol, in milliseconds.
const (
	// LeaseMillis is the duration of a lease on the voter's clock.
	LeaseMillis tiller.Millis = 1200
	// RenewMillis is the interval between two renewals by an owner.
	RenewMillis tiller.Millis = 300
	// GraceMillis is the time after the end of a lease by which all requests sent under it have ended.
	GraceMillis tiller.Millis = 300
	// RankDelayMillis is the additional delay per rank before a candidate requests a free lease.
	RankDelayMillis tiller.Millis = 200
	// ReplyTimeoutMillis is how long a candidate waits for the voters' replies. It covers a round trip between regions.
	ReplyTimeoutMillis tiller.Millis = 150
	// BackoffMinMillis is the shortest random delay after a round that no candidate may have won.
	BackoffMinMillis tiller.Millis = 50
	// BackoffMaxMillis is the longest such delay.
	BackoffMaxMillis tiller.Millis = 150
	// HandBackMillis is how long the first-ranked candidate must be reachable before a lower-ranked owner hands
	// the unit back to it.
	HandBackMillis tiller.Millis = 30_000
	// DefaultPropagationMillis is the time within which a document is in force on every daemon of a fleet of the target size.
	DefaultPropagationMillis tiller.Millis = 6000
	// Never stands for a time that is never reached.
	Never tiller.Millis = math.MaxInt64
)

// MaxClockDriftPercent is how much faster or slower than true time a clock may run, in percent.
const MaxClockDriftPercent = 1

// rules are the parts of the protocol that its safety depends on. Tests replace them
// to show that the invariants are violated without them.
type rules struct {
	// seatClaimHold is the no-grant period in milliseconds after a process has claimed its seat.
	seatClaimHold tiller.Millis
	// majority returns how many grants an owner needs.
	majority func(voters int) int
	// leaseStart returns the time from which the owner counts the duration of a grant.
	leaseStart func(sentAt, receivedAt tiller.Millis) tiller.Millis
}

func protocolRules() rules {
	return rules{
		seatClaimHold: LeaseMillis,
		majority:      func(voters int) int { return voters/2 + 1 },
		leaseStart:    func(sentAt, _ tiller.Millis) tiller.Millis { return sentAt },
	}
}

// shortenForDrift returns a duration that, measured on one clock, ends no later than d measured on any other,
// when both drift by at most MaxClockDriftPercent. It allows 1 ms for the rounding of the other clock.
func shortenForDrift(d tiller.Millis) tiller.Millis {
	return (d - 1) * (100 - MaxClockDriftPercent) / (100 + MaxClockDriftPercent)
}

// lengthenForDrift returns a duration that, measured on one clock, ends no sooner than d measured on any other,
// when both drift by at most MaxClockDriftPercent. It allows 1 ms for the rounding of the other clock.
func lengthenForDrift(d tiller.Millis) tiller.Millis {
	if d <= 0 {
		return 0
	}
	const slow = 100 - MaxClockDriftPercent
	return (d*(100+MaxClockDriftPercent)+slow-1)/slow + 1
}
