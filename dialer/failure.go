package dialer

import (
	"context"
	"errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
)

// refusedStream is the HTTP/2 error code by which a server states that it did not process a request.
const refusedStream = 0x7

// streamError has the fields of net/http's unexported HTTP/2 stream error, which errors.As copies.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error returns the text of the cause.
func (e streamError) Error() string {
	if e.Cause == nil {
		return "stream error"
	}
	return e.Cause.Error()
}

// acquireFailure is the failure of an attempt that got no connection.
func acquireFailure(ctx context.Context, err error) *tiller.Failure {
	reason := tiller.ReasonConnectFailed
	if ctx.Err() != nil {
		reason = contextReason(ctx)
	}
	return tiller.NewFailure(tiller.NotRun, reason, err)
}

// refusedFailure is the failure of an attempt that the upstream refused.
func refusedFailure(e upstream.SearchError) *tiller.Failure {
	verdict := tiller.NotRun
	if e.Ran {
		verdict = tiller.MayHaveRun
	}
	f := tiller.NewFailure(verdict, tiller.Reason(e.Reason), errors.New(e.Detail.Or("refused by the upstream")))
	f.RetryAfter = tiller.Millis(e.RetryAfterMillis.Or(0))
	return f
}

// searchFailure is the failure of an attempt without a usable response.
func (p *pool) searchFailure(ctx context.Context, t *transfer, err error) *tiller.Failure {
	return tiller.NewFailure(verdictOf(ctx, t), p.reasonOf(ctx, t), err)
}

// verdictOf says whether the request may have run. After the end of the context net/http may return
// while its writer is still at work, so the mark of the writer proves nothing then.
func verdictOf(ctx context.Context, t *transfer) tiller.Verdict {
	var stream streamError
	switch {
	case !t.isUsed:
		return tiller.NotRun
	case t.sendErr == nil:
		return tiller.MayHaveRun
	case errors.As(t.sendErr, &stream) && stream.Code == refusedStream:
		return tiller.NotRun
	case ctx.Err() == nil && !t.isWritten.Load():
		return tiller.NotRun
	}
	return tiller.MayHaveRun
}

func (p *pool) reasonOf(ctx context.Context, t *transfer) tiller.Reason {
	var stream streamError
	switch cause := p.causeOf(t.conn); {
	case errors.Is(t.sendErr, errLeaseExpired), t.isLate.Load():
		return tiller.ReasonLeaseExpired
	case cause != "":
		return cause
	case ctx.Err() != nil:
		return contextReason(ctx)
	case errors.As(t.sendErr, &stream) && stream.Code == refusedStream:
		return tiller.ReasonShed
	case errors.As(t.sendErr, &stream), errors.As(t.readErr, &stream):
		return tiller.ReasonUpstreamError
	case errors.Is(t.readErr, errResponseLarge):
		return tiller.ReasonUpstreamError
	case t.sendErr != nil, t.readErr != nil:
		return tiller.ReasonConnectionLost
	}
	return tiller.ReasonUpstreamError
}

// causeOf returns why this side closed a connection.
func (p *pool) causeOf(c *conn) tiller.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.cause
}

func contextReason(ctx context.Context) tiller.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return tiller.ReasonTimeout
	}
	return tiller.ReasonCancelled
}
