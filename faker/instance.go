package faker

import (
	"context"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Causes for which a request ends without results.
var (
	errCrashed  = errors.New("the upstream crashed")
	errDeadline = errors.New("the deadline passed")
	errShed     = errors.New("slots and queue are full")
)

// instance is the state of one incarnation of an upstream, from its start to its crash or to Close.
type instance struct {
	ctx         context.Context
	end         context.CancelCauseFunc
	incarnation int64
	slots       slots
	cold        coldStart
}

func newInstance(s UpstreamSettings, incarnation int64, now tiller.Millis) *instance {
	ctx, end := context.WithCancelCause(context.Background())
	l := &instance{
		ctx:         ctx,
		end:         end,
		incarnation: incarnation,
		slots:       slots{limit: s.Slots, queueLimit: s.QueueLimit},
		cold:        coldStart{slots: s.ColdSlots, requests: s.ColdRequests, millis: s.ColdMillis},
	}
	l.cold.restart(now)
	return l
}

// bound returns a context that ends with ctx, after the duration deadline, or when the instance ends.
// Its cause tells which.
func (l *instance) bound(ctx context.Context, deadline tiller.Millis) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeoutCause(ctx, deadline.Duration(), errDeadline)
	ctx, kill := context.WithCancelCause(ctx)
	stop := context.AfterFunc(l.ctx, func() { kill(context.Cause(l.ctx)) })
	return ctx, func() {
		stop()
		kill(nil)
		cancel()
	}
}
