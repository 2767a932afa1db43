package runner

import (
	"context"
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// Stop stops as planned: the reducer finishes what it accepted. When ctx ends first, the rest is
// abandoned, its callers get refusals, and the error says how many there were.
// Stop returns when every goroutine of the runner has ended.
func (r *Runner) Stop(ctx context.Context) error {
	r.Post(func(s reducer.Stamp) reducer.Event { return reducer.StopRequested{Stamp: s} })
	var cause error
	select {
	case <-r.stopped:
	case <-r.done:
	case <-ctx.Done():
		cause = ctx.Err()
	}
	left := 0
	if cause != nil {
		_ = r.View(func() { left = len(r.waiters) })
	}
	r.Close()
	if cause != nil {
		return fmt.Errorf("stop abandoned %d queries: %w", left, cause)
	}
	return nil
}

// Close ends the runner at once. Callers that still wait get refusals with ReasonStopping.
func (r *Runner) Close() {
	r.closeOnce.Do(func() { close(r.closing) })
	<-r.done
	r.tasks.Wait()
}

// Stopped is closed when the reducer says that nothing accepted is left.
func (r *Runner) Stopped() <-chan struct{} {
	return r.stopped
}

// release refuses what still waits. It runs last on the owner goroutine.
func (r *Runner) refuseWaiting() {
	r.timer.Stop()
	r.cancelBase()
	for _, w := range r.waiters {
		w.result <- tiller.Result{Refusal: r.refuse(w.query.ID, tiller.MayHaveRun, tiller.ReasonStopping, 0)}
	}
	r.waiters = nil
}
