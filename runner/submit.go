package runner

import (
	"context"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

const (
	// replyGraceMillis is the time after a query's deadline at which Submit stops waiting for the reducer's reply.
	// The reducer replies before the deadline; the extra time allows for a busy process.
	replyGraceMillis tiller.Millis = 1000
	// retryAfterMillis is the RetryAfter of refusals with ReasonQueueFull.
	retryAfterMillis tiller.Millis = 100
)

// waiter is a call of SubmitFrom that waits for its result. Only the event loop's goroutine may access ref.
type waiter struct {
	query tiller.Query
	// ref is the reference of the query's QueryArrived event; 0 before that event.
	ref    uint64
	result chan tiller.Result
}

// Submit passes a caller's query to the reducer and waits for its result. When ctx ends first,
// the query is cancelled and the result is a refusal with ReasonCancelled. When the queue is full,
// the result is a refusal with NotRun and ReasonQueueFull.
func (r *Runner) Submit(ctx context.Context, q tiller.Query) tiller.Result {
	return r.SubmitFrom(ctx, q, reducer.LocalCaller, 0)
}

// SubmitFrom is like Submit, for a query that was forwarded by the daemon at seat from.
// redirects is the number of redirects of the query so far.
func (r *Runner) SubmitFrom(ctx context.Context, q tiller.Query, from, redirects int) tiller.Result {
	w := &waiter{query: q, result: make(chan tiller.Result, 1)}
	arrive := func() { r.arrive(w, from, redirects) }
	if refusal := r.enqueue(q.ID, arrive); refusal != nil {
		return tiller.Result{Refusal: refusal}
	}
	left := q.Deadline - r.cfg.Clock.Now() + replyGraceMillis
	timer := time.NewTimer(left.Duration())
	defer timer.Stop()
	select {
	case result := <-w.result:
		return result
	case <-ctx.Done():
		r.abandonQuery(w, tiller.ReasonCancelled)
	case <-timer.C:
		r.cfg.Count("missing_reply", tiller.ReasonTimeout, 1)
		r.abandonQuery(w, tiller.ReasonTimeout)
	case <-r.done:
	}
	return r.awaitFinalResult(w)
}

// enqueue queues a task of a caller. It returns a refusal when the queue is full or the event loop has ended.
func (r *Runner) enqueue(id tiller.RequestID, task func()) *tiller.Refusal {
	select {
	case <-r.done:
		return r.refuse(id, tiller.NotRun, tiller.ReasonStopping, 0)
	default:
	}
	select {
	case r.arrivals <- task:
		return nil
	default:
		return r.refuse(id, tiller.NotRun, tiller.ReasonQueueFull, retryAfterMillis)
	}
}

// refuse returns and counts a refusal that the Runner itself decides.
func (r *Runner) refuse(id tiller.RequestID, v tiller.Verdict, reason tiller.Reason, after tiller.Millis) *tiller.Refusal {
	r.cfg.Count("refusal", reason, 1)
	return &tiller.Refusal{ID: id, Verdict: v, Reason: reason, RetryAfter: after, Owner: -1}
}

// arrive registers the waiter of a query and passes the query to the reducer.
func (r *Runner) arrive(w *waiter, from, redirects int) {
	r.lastRef++
	w.ref = r.lastRef
	r.waiters[w.ref] = w
	r.handle(func(s reducer.Stamp) reducer.Event {
		return reducer.QueryArrived{Stamp: s, Query: w.query, From: from, Redirects: redirects, Ref: w.ref}
	})
}

// reply delivers a result to its waiter. A result without a waiter is only counted.
func (r *Runner) reply(e reducer.Reply) {
	w, ok := r.waiters[e.Ref]
	if !ok {
		r.cfg.Count("late_reply", reasonOf(e.Result), 1)
		return
	}
	delete(r.waiters, e.Ref)
	w.result <- e.Result
}

// abandonQuery queues a task that reports CallerGone to the reducer
// and, unless the reducer replies, refuses the query with MayHaveRun.
func (r *Runner) abandonQuery(w *waiter, reason tiller.Reason) {
	task := func() {
		if r.waiters[w.ref] != w {
			return
		}
		r.handle(func(s reducer.Stamp) reducer.Event {
			return reducer.CallerGone{Stamp: s, Caller: w.query.Caller, ID: w.query.ID, Ref: w.ref}
		})
		if r.waiters[w.ref] == w {
			delete(r.waiters, w.ref)
			w.result <- tiller.Result{Refusal: r.refuse(w.query.ID, tiller.MayHaveRun, reason, 0)}
		}
	}
	// Arrivals are handled in order, so this task runs after the one that submitted the query.
	select {
	case r.arrivals <- task:
	case <-r.done:
	}
}

// awaitFinalResult waits for the result of an abandoned query. When the event loop ended before
// it handled the query, the query has not run.
func (r *Runner) awaitFinalResult(w *waiter) tiller.Result {
	select {
	case result := <-w.result:
		return result
	case <-r.done:
	}
	select {
	case result := <-w.result:
		return result
	default:
	}
	return tiller.Result{Refusal: r.refuse(w.query.ID, tiller.NotRun, tiller.ReasonStopping, 0)}
}

// reasonOf returns the reason of a refusal, or an empty reason for an answer.
func reasonOf(result tiller.Result) tiller.Reason {
	if result.Refusal == nil {
		return ""
	}
	return result.Refusal.Reason
}
