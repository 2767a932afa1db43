package runner

import (
	"context"
	"errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// forwardGraceMillis is the time after a query's deadline at which its forward times out.
const forwardGraceMillis tiller.Millis = 100

// startForward sends a query to a peer on its own goroutine.
func (r *Runner) startForward(e reducer.Forward) {
	left := e.Query.Deadline - r.cfg.Clock.Now() + forwardGraceMillis
	ctx, cancel := context.WithTimeout(r.baseCtx, left.Duration())
	r.forwards[e.Forward] = cancel
	r.tasks.Go(func() {
		result, err := r.cfg.Forward(ctx, e)
		r.schedule(func() { r.endForward(e.Forward, result, err) })
	})
}

// endForward passes the outcome of a forwarded query to the reducer. The outcome of a cancelled one is only counted.
func (r *Runner) endForward(id reducer.ForwardID, result tiller.Result, err error) {
	cancel, ok := r.forwards[id]
	if !ok {
		r.cfg.Count("late_reply", tiller.ReasonCancelled, 1)
		return
	}
	cancel()
	delete(r.forwards, id)
	r.handle(func(s reducer.Stamp) reducer.Event {
		if err != nil {
			return reducer.PeerFailed{Stamp: s, Forward: id, Verdict: verdictOf(err)}
		}
		return reducer.PeerReply{Stamp: s, Forward: id, Result: result}
	})
}

// cancelForward cancels the context of a forwarded query. Its outcome is discarded.
func (r *Runner) cancelForward(e reducer.CancelForward) {
	cancel, ok := r.forwards[e.Forward]
	if !ok {
		return
	}
	cancel()
	delete(r.forwards, e.Forward)
}

// verdictOf returns the verdict of err, or MayHaveRun when err is not a *Failure.
func verdictOf(err error) tiller.Verdict {
	var failure *tiller.Failure
	if errors.As(err, &failure) {
		return failure.Verdict
	}
	return tiller.MayHaveRun
}
