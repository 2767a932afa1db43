package runner

import (
	"context"
	"errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// startAttempt sends an attempt on its own goroutine. When the current time is past ValidUntil, it sends nothing
// and reports AttemptFailed with NotRun and ReasonLeaseExpired.
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

// endAttempt passes the outcome of an attempt to the reducer. The outcome of a cancelled attempt is only counted.
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

// cancelAttempt cancels the context of an attempt. Its outcome is discarded.
func (r *Runner) cancelAttempt(e reducer.CancelAttempt) {
	cancel, ok := r.attempts[e.Attempt]
	if !ok {
		return
	}
	cancel()
	delete(r.attempts, e.Attempt)
}

// failedAttempt returns the event for err. An error that is not a *Failure does not show
// whether the request was sent, so its verdict is MayHaveRun.
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
