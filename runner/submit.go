package runner

import (
	"context"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

const (
	// replyGraceMillis is how long after its deadline a query without a reply is given up.
	// The reducer replies before the deadline; the grace covers a busy process.
	replyGraceMillis tiller.Millis = 1000
	// retryAfterMillis is the hint to callers that are refused because the queue of arrivals is full.
	retryAfterMillis tiller.Millis = 100
)

// queryKey identifies a query within the daemon. Several callers may wait for copies of one query.
type queryKey struct {
	caller string
	id     tiller.RequestID
	from   int
}

// waiter waits for the result of one query. Only the owner goroutine reads and writes isAccepted.
type waiter struct {
	key        queryKey
	result     chan tiller.Result
	isAccepted bool
}

// Submit hands a caller's query to the reducer and waits for its result. When ctx ends first,
// the query is cancelled and the result is a refusal with ReasonCancelled.
func (r *Runner) Submit(ctx context.Context, q tiller.Query) tiller.Result {
	return r.SubmitFrom(ctx, q, reducer.LocalCaller, 0)
}

// SubmitFrom is Submit for a query that the seat from has forwarded after redirects redirects.
func (r *Runner) SubmitFrom(ctx context.Context, q tiller.Query, from, redirects int) tiller.Result {
	key := queryKey{caller: q.Caller, id: q.ID, from: from}
	w := &waiter{key: key, result: make(chan tiller.Result, 1)}
	arrive := func() { r.arrive(w, q, from, redirects) }
	if refusal := r.enqueue(arrive); refusal != nil {
		refusal.ID = q.ID
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
	case <-r.ended:
	}
	return r.lastResult(w)
}

// enqueue queues a task of a caller. It returns a refusal when there is no room.
func (r *Runner) enqueue(task func()) *tiller.Refusal {
	select {
	case <-r.ended:
		return r.refuse(tiller.NotRun, tiller.ReasonStopping, 0)
	default:
	}
	select {
	case r.arrivals <- task:
		return nil
	default:
		return r.refuse(tiller.NotRun, tiller.ReasonQueueFull, retryAfterMillis)
	}
}

// refuse returns a refusal of the runner itself and counts it.
func (r *Runner) refuse(v tiller.Verdict, reason tiller.Reason, after tiller.Millis) *tiller.Refusal {
	r.cfg.Count("refusal", reason, 1)
	return &tiller.Refusal{Verdict: v, Reason: reason, RetryAfter: after, Owner: -1}
}

// arrive hands a query to the reducer.
func (r *Runner) arrive(w *waiter, q tiller.Query, from, redirects int) {
	w.isAccepted = true
	r.waiting[w.key] = append(r.waiting[w.key], w)
	r.arriving = w
	r.handle(func(s reducer.Stamp) reducer.Event {
		return reducer.QueryArrived{Stamp: s, Query: q, From: from, Redirects: redirects}
	})
	r.arriving = nil
}

// reply delivers a result. A reply that is emitted while a copy of the query arrives refuses that copy;
// any other reply belongs to the copy that has waited longest.
func (r *Runner) reply(e reducer.Reply) {
	key := queryKey{caller: e.Caller, id: e.ID, from: e.To}
	w := r.arriving
	if w == nil || w.key != key || !r.forget(w) {
		w = r.oldest(key)
	}
	if w == nil {
		r.cfg.Count("late_reply", reasonOf(e.Result), 1)
		return
	}
	r.forget(w)
	w.result <- e.Result
}

func (r *Runner) oldest(key queryKey) *waiter {
	if waiters := r.waiting[key]; len(waiters) > 0 {
		return waiters[0]
	}
	return nil
}

// forget removes w from those that wait and reports whether it was there.
func (r *Runner) forget(w *waiter) bool {
	waiters := r.waiting[w.key]
	for i, other := range waiters {
		if other != w {
			continue
		}
		if len(waiters) == 1 {
			delete(r.waiting, w.key)
			return true
		}
		rest := append([]*waiter(nil), waiters[:i]...)
		r.waiting[w.key] = append(rest, waiters[i+1:]...)
		return true
	}
	return false
}

// abandonQuery tells the reducer that nobody waits for a query any more, and ends the waiter.
func (r *Runner) abandonQuery(w *waiter, reason tiller.Reason) {
	task := func() {
		if !w.isAccepted || !r.isWaiting(w) {
			return
		}
		r.handle(func(s reducer.Stamp) reducer.Event {
			return reducer.CallerGone{Stamp: s, Caller: w.key.caller, ID: w.key.id}
		})
		r.cancelForwards(w.key.caller, w.key.id)
		if r.forget(w) {
			w.result <- tiller.Result{Refusal: r.refuse(tiller.MayHaveRun, reason, 0)}
		}
	}
	// The arrivals are handled in order, so this runs after the query's own arrival.
	select {
	case r.arrivals <- task:
	case <-r.ended:
	}
}

func (r *Runner) isWaiting(w *waiter) bool {
	for _, other := range r.waiting[w.key] {
		if other == w {
			return true
		}
	}
	return false
}

// lastResult waits for the result of an abandoned query. When the runner ended before it handled
// the query, the query was not run.
func (r *Runner) lastResult(w *waiter) tiller.Result {
	select {
	case result := <-w.result:
		return result
	case <-r.ended:
	}
	select {
	case result := <-w.result:
		return result
	default:
	}
	refusal := r.refuse(tiller.NotRun, tiller.ReasonStopping, 0)
	refusal.ID = w.key.id
	return tiller.Result{Refusal: refusal}
}

// reasonOf returns the reason of a refusal, and an empty one of an answer.
func reasonOf(result tiller.Result) tiller.Reason {
	if result.Refusal == nil {
		return ""
	}
	return result.Refusal.Reason
}
