package runner

import (
	"context"
	"math/rand/v2"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// Default lengths of the queues in front of the owner goroutine.
const (
	// defaultEventLimit bounds outcomes that wait to be handled. Their senders block when it is reached.
	defaultEventLimit = 4096
	// defaultArrivalLimit bounds callers' requests that wait to be handled. Further ones are refused.
	defaultArrivalLimit = 1024
)

// Config holds what a Runner depends on. Step, Send and Clock are required.
type Config struct {
	Clock tiller.Clock
	// Random returns the random number of an event; nil means a seeded source of the runtime.
	Random func() uint64
	// Step decides what follows from an event. It is called on the owner goroutine only.
	Step func(reducer.Event) []reducer.Effect
	// Send sends an attempt to an upstream and waits for its end. It is called on a goroutine of its own.
	// Its context ends when the attempt is cancelled. Its errors are of type *carawaytiller.Failure.
	// It must fail with NotRun and ReasonLeaseExpired rather than write the first byte after ValidUntil.
	Send func(context.Context, reducer.SendAttempt) (tiller.SearchResponse, error)
	// Forward passes a query to a peer and waits for the result, as Send does.
	Forward func(context.Context, reducer.Forward) (tiller.Result, error)
	// SendLease sends a message of the lease protocol. It must not block.
	SendLease func(reducer.SendLease)
	// Announce makes a fact known to all daemons. It must not block.
	Announce func(reducer.Announce)
	// FinishMove starts to write the final state of a rollout to the stored document. It must not block.
	FinishMove func(reducer.FinishMove)
	// Count adds n to a counter. It must not block.
	Count func(name string, label tiller.Reason, n int64)
	// EventLimit and ArrivalLimit bound the queues; 0 means the default.
	EventLimit   int
	ArrivalLimit int
}

// withDefaults returns a copy of c whose optional fields are set.
func (c Config) withDefaults() Config {
	if c.Random == nil {
		c.Random = rand.Uint64
	}
	if c.Forward == nil {
		c.Forward = refuseForward
	}
	if c.SendLease == nil {
		c.SendLease = func(reducer.SendLease) {}
	}
	if c.Announce == nil {
		c.Announce = func(reducer.Announce) {}
	}
	if c.FinishMove == nil {
		c.FinishMove = func(reducer.FinishMove) {}
	}
	if c.Count == nil {
		c.Count = func(string, tiller.Reason, int64) {}
	}
	if c.EventLimit == 0 {
		c.EventLimit = defaultEventLimit
	}
	if c.ArrivalLimit == 0 {
		c.ArrivalLimit = defaultArrivalLimit
	}
	return c
}

// refuseForward stands in for Forward in a daemon without peers.
func refuseForward(context.Context, reducer.Forward) (tiller.Result, error) {
	return tiller.Result{}, tiller.NewFailure(tiller.NotRun, tiller.ReasonNoOwner, nil)
}
