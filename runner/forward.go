package runner

import (
	"context"
	"errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// forwardGraceMillis is how long after a query's deadline its forward is given up.
const forwardGraceMillis tiller.Millis = 100

// forwarding is a query that a peer works on.
type forwarding struct {
	query  tiller.Query
	cancel context.CancelFunc
}

// startForward passes a query to a peer on a goroutine of its own.
func (r *Runner) startForward(e reducer.Forward) {
	left := e.Query.Deadline - r.cfg.Clock.Now() + forwardGraceMillis
	ctx, cancel := context.WithTimeout(r.base, left.Duration())
	r.forwards[e.Forward] = forwarding{query: e.Query, cancel: cancel}
	r.tasks.Go(func() {
		result, err := r.cfg.Forward(ctx, e)
		r.do(func() { r.endForward(e.Forward, result, err) })
	})
}

// endForward hands the outcome of a forwarded query to the reducer.
func (r *Runner) endForward(id reducer.ForwardID, result tiller.Result, err error) {
	r.forwards[id].cancel()
	delete(r.forwards, id)
	r.handle(func(s reducer.Stamp) reducer.Event {
		if err != nil {
			return reducer.PeerFailed{Stamp: s, Forward: id, Verdict: verdictOf(err)}
		}
		return reducer.PeerReply{Stamp: s, Forward: id, Result: result}
	})
}

// cancelForwards gives up the forwards of a query whose caller went away. A single-use request is left
// to end at the peer, because the issuer of its token answers a later copy with the outcome.
func (r *Runner) cancelForwards(caller string, id tiller.RequestID) {
	for _, f := range r.forwards {
		if f.query.Caller == caller && f.query.ID == id && f.query.Token == "" {
			f.cancel()
		}
	}
}

// verdictOf returns the verdict of err; an error that has none may have any outcome.
func verdictOf(err error) tiller.Verdict {
	var failure *tiller.Failure
	if errors.As(err, &failure) {
		return failure.Verdict
	}
	return tiller.MayHaveRun
}
