package runner

import (
	"context"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// Token requests a single-use token from the reducer. Expires of the result is a point in time.
// The result is a refusal when ctx ends first, when the queue is full or when the event loop has ended.
func (r *Runner) Token(ctx context.Context) reducer.IssueToken {
	issued := make(chan reducer.IssueToken, 1)
	request := func() {
		r.lastRef++
		ref := r.lastRef
		r.tokens[ref] = issued
		r.handle(func(s reducer.Stamp) reducer.Event { return reducer.TokenRequested{Stamp: s, Ref: ref} })
	}
	if refusal := r.enqueue("", request); refusal != nil {
		return reducer.IssueToken{Refusal: refusal}
	}
	select {
	case e := <-issued:
		return e
	case <-ctx.Done():
		return reducer.IssueToken{Refusal: r.refuse("", tiller.NotRun, tiller.ReasonCancelled, 0)}
	case <-r.done:
		return reducer.IssueToken{Refusal: r.refuse("", tiller.NotRun, tiller.ReasonStopping, 0)}
	}
}

// issueToken delivers a token to the caller that requested it. A token without a waiting caller is only counted.
func (r *Runner) issueToken(e reducer.IssueToken) {
	issued, ok := r.tokens[e.Ref]
	if !ok {
		r.cfg.Count("late_reply", "", 1)
		return
	}
	delete(r.tokens, e.Ref)
	issued <- e
}
