package runner

import (
	"context"
	"errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// startAttempt sends an attempt on a goroutine of its own, or drops it when its lease has ended.
func (r *Runner) startAttempt(e reducer.SendAttempt) {
	id := e.Request.Attempt
	if r.cfg.Clock.Now() > e.ValidUntil {
		r.pending = append(r.pending, func(s reducer.Stamp) reducer.Event {
			return failedAttempt(s, id, tiller.NewFailure(tiller.NotRun, tiller.ReasonLeaseExpired, nil))
		})
		return
	}
	ctx, cancel := context.WithCancel(r.baseCtx)
	r.attempts[id] = cancel
	r.tasks.Go(func() {
		response, err := r.cfg.Send(ctx, e)
		r.schedule(func() { r.endAttempt(id, response, err) })
	})
}

// endAttempt hands the outcome of an attempt to the reducer, unless the attempt was cancelled before.
func (r *Runner) endAttempt(id tiller.AttemptID, response tiller.SearchResponse, err error) {
	cancel, ok := r.attempts[id]
	if !ok {
		r.cfg.Count("late_response", tiller.ReasonCancelled, 1)
		return
	}
	cancel()
	delete(r.attempts, id)
	r.handle(func(s reducer.Stamp) reducer.Event {
		if err != nil {
			return failedAttempt(s, id, err)
		}
		return reducer.ResponseArrived{Stamp: s, Attempt: id, Response: response}
	})
}

// cancelAttempt ends the context of an attempt; its outcome is dropped.
func (r *Runner) cancelAttempt(e reducer.CancelAttempt) {
	cancel, ok := r.attempts[e.Attempt]
	if !ok {
		return
	}
	cancel()
	delete(r.attempts, e.Attempt)
}

// failedAttempt returns the event for err. An error of another type than *Failure
// says nothing about what was sent, so the request may have run.
func failedAttempt(s reducer.Stamp, id tiller.AttemptID, err error) reducer.AttemptFailed {
	event := reducer.AttemptFailed{Stamp: s, Attempt: id, Verdict: tiller.MayHaveRun, Reason: tiller.ReasonUpstreamError}
	var failure *tiller.Failure
	if errors.As(err, &failure) {
		event.Verdict = failure.Verdict
		event.Reason = failure.Reason
		event.RetryAfter = failure.RetryAfter
	}
	return event
}
