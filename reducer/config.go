package reducer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/tracker"
)

const (
	// replyMargin is the time before a query's deadline at which its result is sent, in milliseconds.
	replyMarginMillis tiller.Millis = 5
	// leaseOverrun is the time after the end of a lease until which an attempt may run, in milliseconds.
	// A new owner waits for it.
	leaseOverrunMillis tiller.Millis = 300
	// quotaGrowthMillis is the time after which a larger quota holds: the bound for
	// a revision to be in force everywhere.
	quotaGrowthMillis = 6 * tiller.Second
	// defaultHopMillis is the one-way latency between daemons, when none is configured.
	defaultHopMillis tiller.Millis = 5
	// defaultDecisionLimit is the size of the ring of decisions.
	defaultDecisionLimit = 16384
	// defaultCleanLimit is the number of clean digests remembered.
	defaultCleanLimit = 65536
	// defaultTokenLimit is the number of single-use tokens that are valid at once.
	defaultTokenLimit = 65536
	// defaultQueueLimit is the number of queries that wait, when the document gives none.
	defaultQueueLimit = 256
	// noLeaseEnd is the end of the lease of a daemon that owns everything.
	noLeaseEnd = tiller.Millis(math.MaxInt64)
)

// Config holds what a State depends on. Every field may be left empty.
type Config struct {
	// Holding tells what this daemon may do with a unit. When it is nil, the daemon owns every unit.
	Holding func(now tiller.Millis, u tracker.UnitID) tracker.Holding
	// OnLeaseMessage handles a message of the lease protocol and returns those to be sent.
	OnLeaseMessage func(now tiller.Millis, random uint64, from int, m tracker.Message) []tracker.Envelope
	// OnLeaseTick does what is due in the lease protocol and returns the messages to be sent.
	OnLeaseTick func(now tiller.Millis, random uint64) []tracker.Envelope
	// NextLeaseWake returns the time of the next OnLeaseTick; 0 when none is due.
	NextLeaseWake func() tiller.Millis
	// SetUnits tells the units of the document in force and the epoch of their voter sets.
	SetUnits func(now tiller.Millis, epoch uint64, units []tracker.Unit)
	// SetSeat tells the seat and incarnation of this process.
	SetSeat func(now tiller.Millis, seat int, incarnation int64)
	// Release gives back the lease of a unit whose work is finished while the daemon stops.
	Release func(now tiller.Millis, u tracker.UnitID) []tracker.Envelope
	// HopMillis returns the one-way latency to the daemon of a seat, in milliseconds.
	HopMillis func(seat int) tiller.Millis
	// DecisionLimit is the number of decisions kept for Explain.
	DecisionLimit int
	// CleanLimit is the number of digests remembered as harmless.
	CleanLimit int
	// TokenLimit is the number of single-use tokens that are valid at once.
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
