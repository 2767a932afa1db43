package runner

import (
	"context"
	"math/rand/v2"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// Default lengths of the event loop's queues.
const (
	// defaultEventLimit is the number of queued events, such as outcomes of effects and messages.
	// Senders block while the queue is full.
	defaultEventLimit = 4096
	// defaultArrivalLimit is the number of queued requests of callers. Requests beyond it are refused.
	defaultArrivalLimit = 1024
)

// Config holds what a Runner depends on. Step, Send and Clock are required.
type Config struct {
	Clock tiller.Clock
	// Random returns the random number that is stamped on an event. The default is math/rand/v2.
	Random func() uint64
	// Step applies an event to the reducer's state and returns the effects. It is called only by the event loop.
	Step func(reducer.Event) []reducer.Effect
	// Send sends an attempt to an upstream and waits for the response. Each call has its own goroutine.
	// Its context ends when the attempt is cancelled. Its errors are of type *carawaytiller.Failure.
	// It must not write the first byte after ValidUntil, but fail with NotRun and ReasonLeaseExpired.
	Send func(context.Context, reducer.SendAttempt) (tiller.SearchResponse, error)
	// Forward sends a query to a peer and waits for the result. Each call has its own goroutine.
	// The default fails with NotRun and ReasonNoOwner.
	Forward func(context.Context, reducer.Forward) (tiller.Result, error)
	// SendLease sends a message of the lease protocol. It must not block. The default does nothing.
	SendLease func(reducer.SendLease)
	// Announce distributes a fact to all daemons. It must not block. The default does nothing.
	Announce func(reducer.Announce)
	// FinishMove starts writing the final state of a rollout to the stored document. It must not block.
	// The default does nothing.
	FinishMove func(reducer.FinishMove)
	// Count adds n to a counter. It must not block. The default does nothing.
	Count func(name string, label tiller.Reason, n int64)
	// EventLimit and ArrivalLimit are the lengths of the queues of events and of callers' requests.
	// The defaults are 4096 and 1024.
	EventLimit   int
	ArrivalLimit int
}

// withDefaults returns a copy of c in which unset optional fields have their defaults.
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

// refuseForward is the Forward of a daemon without peers.
func refuseForward(context.Context, reducer.Forward) (tiller.Result, error) {
	return tiller.Result{}, tiller.NewFailure(tiller.NotRun, tiller.ReasonNoOwner, nil)
}
