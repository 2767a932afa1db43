package sender

import (
	"context"
	"sync"
	"time"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
)

// Sender is an open loop: a slow answer delays no later query.
type Sender struct {
	// Next returns the next query; their starts do not decrease.
	Next func() planner.Request
	// Ask sends a query and waits for its outcome. intended is the time at which it was to start.
	Ask func(ctx context.Context, r planner.Request, intended time.Time)
}

// Run sends the queries that start before length, counted from start, and waits for the end of that time
// and for their outcomes. When ctx ends, no further query is sent.
func (s *Sender) Run(ctx context.Context, start time.Time, length time.Duration) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		r := s.Next()
		if r.At >= length {
			sleepUntil(ctx, start.Add(length))
			return
		}
		intended := start.Add(r.At)
		if !sleepUntil(ctx, intended) {
			return
		}
		tasks.Go(func() { s.Ask(context.WithoutCancel(ctx), r, intended) })
	}
}

// sleepUntil reports whether the time came before the end of ctx.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
