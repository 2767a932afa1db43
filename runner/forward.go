package runner

import (
	"context"
	"errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// forwardGraceMillis is how long after a query's deadline its forward is given up.
const forwardGraceMillis tiller.Millis = 100

// startForward passes a query to a peer on a goroutine of its own.
func (r *Runner) startForward(e reducer.Forward) {
	left := e.Query.Deadline - r.cfg.Clock.Now() + forwardGraceMillis
	ctx, cancel := context.WithTimeout(r.baseCtx, left.Duration())
	r.forwards[e.Forward] = cancel
	r.tasks.Go(func() {
		result, err := r.cfg.Forward(ctx, e)
		r.schedule(func() { r.endForward(e.Forward, result, err) })
	})
}

// endForward hands the outcome of a forwarded query to the reducer, unless it was cancelled before.
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

// cancelForward ends the context of a forwarded query; its outcome is dropped.
func (r *Runner) cancelForward(e reducer.CancelForward) {
	cancel, ok := r.forwards[e.Forward]
	if !ok {
		return
	}
	cancel()
	delete(r.forwards, e.Forward)
}

// verdictOf returns the verdict of err; an error that has none may have any outcome.
func verdictOf(err error) tiller.Verdict {
	var failure *tiller.Failure
	if errors.As(err, &failure) {
		return failure.Verdict
	}
	return tiller.MayHaveRun
}
