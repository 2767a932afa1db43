package dialer

import (
	"context"
	"errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
)

// http2RefusedStream is the HTTP/2 error code REFUSED_STREAM: the server did not process the request.
const http2RefusedStream = 0x7

// streamError has the same fields as the unexported HTTP/2 stream error of net/http, whose As method
// copies them for errors.As.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error returns the message of the cause, if there is one.
func (e streamError) Error() string {
	if e.Cause == nil {
		return "HTTP/2 stream error"
	}
	return e.Cause.Error()
}

// acquireFailure returns the failure of an attempt for which no connection was available.
func acquireFailure(ctx context.Context, err error) *tiller.Failure {
	reason := tiller.ReasonConnectFailed
	if ctx.Err() != nil {
		reason = contextReason(ctx)
	}
	return tiller.NewFailure(tiller.NotRun, reason, err)
}

// refusedFailure converts an error response of an upstream. The verdict is MayHaveRun if the upstream
// started the request.
func refusedFailure(e upstream.SearchError) *tiller.Failure {
	verdict := tiller.NotRun
	if e.Ran {
		verdict = tiller.MayHaveRun
	}
	f := tiller.NewFailure(verdict, tiller.Reason(e.Reason), errors.New(e.Detail.Or("refused by the upstream")))
	f.RetryAfter = tiller.Millis(e.RetryAfterMillis.Or(0))
	return f
}

// searchFailure returns the failure of an attempt without a usable response.
func (p *pool) searchFailure(ctx context.Context, e *exchange, err error) *tiller.Failure {
	return tiller.NewFailure(verdictOf(ctx, e), p.reasonOf(ctx, e), err)
}

// verdictOf returns whether the request may have run. Once the context has ended, net/http may return
// while it still writes the request, so an unset isWritten is then inconclusive.
func verdictOf(ctx context.Context, e *exchange) tiller.Verdict {
	var stream streamError
	switch {
	case !e.isReservationUsed:
		return tiller.NotRun
	case e.roundTripErr == nil:
		return tiller.MayHaveRun
	case errors.As(e.roundTripErr, &stream) && stream.Code == http2RefusedStream:
		return tiller.NotRun
	case ctx.Err() == nil && !e.isWritten.Load():
		return tiller.NotRun
	}
	return tiller.MayHaveRun
}

func (p *pool) reasonOf(ctx context.Context, e *exchange) tiller.Reason {
	var stream streamError
	switch closeReason := p.closeReasonOf(e.conn); {
	case errors.Is(e.roundTripErr, errLeaseExpired), e.hasLeaseExpired.Load():
		return tiller.ReasonLeaseExpired
	case e.statusErr != nil:
		return tiller.ReasonMismatch
	case closeReason != "":
		return closeReason
	case ctx.Err() != nil:
		return contextReason(ctx)
	case errors.As(e.roundTripErr, &stream) && stream.Code == http2RefusedStream:
		return tiller.ReasonShed
	case errors.As(e.roundTripErr, &stream), errors.As(e.readErr, &stream):
		return tiller.ReasonUpstreamError
	case errors.Is(e.readErr, errResponseLarge):
		return tiller.ReasonUpstreamError
	case e.roundTripErr != nil, e.readErr != nil:
		return tiller.ReasonConnectionLost
	}
	return tiller.ReasonUpstreamError
}

// closeReasonOf returns the closeReason of a connection.
func (p *pool) closeReasonOf(c *conn) tiller.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.closeReason
}

func contextReason(ctx context.Context) tiller.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return tiller.ReasonTimeout
	}
	return tiller.ReasonCancelled
}
