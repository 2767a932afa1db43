package receiver

import (
	"context"
	"sync/atomic"

	tiller "github.com/carawaytiller/carawaytiller"
)

// This file sends clients back to the daemons near them. While daemons are cut off they are not ready, and their clients
// open connections to daemons in other regions. Clients keep these connections, so that they would go on to pay for
// the way there long after the cut has healed.

const (
	// rebalanceDelayMillis is the time after which the daemons that were cut off get new connections again.
	rebalanceDelayMillis = 2500 * tiller.Millis(1)
	// rebalanceMillis is the time for which connections are closed. Most clients send a request within it.
	rebalanceMillis = 15 * tiller.Second
	// detectMillis is the time by which clients may have come before the cut was noticed.
	detectMillis = 1000 * tiller.Millis(1)
)

// rebalancing tells which connections close after their next answer. It may be used concurrently.
type rebalancing struct {
	opened, from, until atomic.Int64
}

// start closes the connections that were opened since a cut began, which has healed now.
func (b *rebalancing) start(now, silent tiller.Millis) {
	b.opened.Store(int64(now - silent - detectMillis))
	b.from.Store(int64(now + rebalanceDelayMillis))
	b.until.Store(int64(now + rebalanceMillis))
}

// closes reports whether a connection that was opened at some time is to close with an answer sent now.
func (b *rebalancing) closes(now, opened tiller.Millis) bool {
	return int64(now) >= b.from.Load() && int64(now) < b.until.Load() && int64(opened) >= b.opened.Load() && int64(opened) < b.from.Load()
}

// Rebalance makes the connections that were opened during a cut close after their next answer, so that their clients
// return to the daemons that had been cut off. silent is the length of the cut, which has healed now.
func (h *Receiver) Rebalance(now, silent tiller.Millis) { h.rebalancing.start(now, silent) }

// isRebalanced reports whether the connection of a request is to close after its answer.
func (h *Receiver) isRebalanced(ctx context.Context) bool {
	c, ok := ctx.Value(firstRequestKey{}).(*connectionInfo)
	return ok && h.rebalancing.closes(h.executor.Now(), c.opened)
}
