package runner

import (
	"context"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// Token asks the reducer for a single-use token. Expires of the result is a point in time.
// When ctx ends first, the result is a refusal.
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

// issueToken delivers a token to the caller that asked for it.
func (r *Runner) issueToken(e reducer.IssueToken) {
	issued, ok := r.tokens[e.Ref]
	if !ok {
		r.cfg.Count("late_reply", "", 1)
		return
	}
	delete(r.tokens, e.Ref)
	issued <- e
}
