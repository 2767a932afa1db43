package runner

import (
	"context"
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// Stop performs a planned stop: the reducer finishes the queries that it has accepted. When ctx ends first,
// the waiting queries are refused with ReasonStopping, and the error states their number.
// Stop returns when every goroutine of the Runner has ended.
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

// Close ends the Runner without waiting for queries in progress, and returns when every goroutine of the Runner
// has ended. Waiting callers get refusals with ReasonStopping.
func (r *Runner) Close() {
	r.closeOnce.Do(func() { close(r.closing) })
	<-r.done
	r.tasks.Wait()
}

// Stopped returns a channel that is closed when the reducer has emitted Stopped, that is,
// when all accepted queries are finished after StopRequested.
func (r *Runner) Stopped() <-chan struct{} {
	return r.stopped
}

// refuseWaiting cancels all attempts and forwards and refuses all waiting queries.
// It runs when the event loop ends.
func (r *Runner) refuseWaiting() {
	r.timer.Stop()
	r.cancelBase()
	for _, w := range r.waiters {
		w.result <- tiller.Result{Refusal: r.refuse(w.query.ID, tiller.MayHaveRun, tiller.ReasonStopping, 0)}
	}
	r.waiters = nil
}
