package reducer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/tracker"
)

const (
	// replyMarginMillis is how long before its deadline the result of a query is sent at the latest.
	replyMarginMillis tiller.Millis = 5
	// leaseOverrunMillis is how long an attempt may run after the end of the lease under which it was sent.
	// A new owner waits that long before it sends.
	leaseOverrunMillis tiller.Millis = 300
	// quotaGrowthMillis is the delay before a larger quota takes effect. It is the bound for the time within
	// which a revision is in force at every daemon.
	quotaGrowthMillis = 6 * tiller.Second
	// defaultHopMillis is the one-way latency between daemons when Config.HopMillis is nil.
	defaultHopMillis tiller.Millis = 5
	// defaultDecisionLimit is the number of decisions kept for Explain.
	defaultDecisionLimit = 16384
	// defaultCleanLimit is the maximum number of digests remembered as clean.
	defaultCleanLimit = 65536
	// defaultTokenLimit is the maximum number of valid single-use tokens.
	defaultTokenLimit = 65536
	// defaultQueueLimit is the queue limit of a service for which the document gives none.
	defaultQueueLimit = 256
	// noLeaseEnd is the end of the lease of a daemon that owns every unit without a lease protocol.
	noLeaseEnd = tiller.Millis(math.MaxInt64)
)

// Config holds the dependencies and limits of a State. Every field is optional.
type Config struct {
	// Holding returns whether and how long this daemon owns a unit. When it is nil, the daemon owns every unit.
	Holding func(now tiller.Millis, u tracker.UnitID) tracker.Holding
	// OnLeaseMessage handles a message of the lease protocol and returns those to be sent.
	OnLeaseMessage func(now tiller.Millis, random uint64, from int, m tracker.Message) []tracker.Envelope
	// OnLeaseTick runs the actions of the lease protocol that are due and returns the messages to be sent.
	OnLeaseTick func(now tiller.Millis, random uint64) []tracker.Envelope
	// NextLeaseWake returns the time of the next OnLeaseTick; 0 when none is due.
	NextLeaseWake func() tiller.Millis
	// SetUnits passes the units of the document in force and the epoch of their voter sets to the lease protocol.
	SetUnits func(now tiller.Millis, epoch uint64, units []tracker.Unit)
	// SetSeat passes the seat and incarnation of this process to the lease protocol.
	SetSeat func(now tiller.Millis, seat int, incarnation int64)
	// Release releases the lease of a unit whose work is finished while the daemon stops, and returns the
	// messages to be sent.
	Release func(now tiller.Millis, u tracker.UnitID) []tracker.Envelope
	// HopMillis returns the one-way latency to the daemon at a seat, in milliseconds.
	HopMillis func(seat int) tiller.Millis
	// DecisionLimit is the number of decisions kept for Explain; 0 means 16384.
	DecisionLimit int
	// CleanLimit is the maximum number of digests remembered as clean; 0 means 65536.
	CleanLimit int
	// TokenLimit is the maximum number of valid single-use tokens; 0 means 65536.
	TokenLimit int
}

func (c Config) hop(seat int) tiller.Millis {
	if c.HopMillis == nil {
		return defaultHopMillis
	}
	return c.HopMillis(seat)
}

func orDefault(n, otherwise int) int {
	if n > 0 {
		return n
	}
	return otherwise
}
