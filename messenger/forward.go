package messenger

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Forward sends a query to the daemon that holds the seat to and waits for its result. When the query's
// deadline passes or ctx ends, the query is cancelled at the peer. The verdict of a failure is NotRun when no
// byte of the query was sent or the peer could not read the request, and otherwise MayHaveRun.
func (m *Messenger) Forward(ctx context.Context, to int, f Forward) (tiller.Result, *tiller.Failure) {
	remaining := f.Query.Deadline - m.cfg.Clock.Now()
	if remaining <= 0 {
		return tiller.Result{}, tiller.NewFailure(tiller.NotRun, tiller.ReasonDeadlinePast, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	stream, c, failure := m.openForwardStream(ctx, to)
	if failure != nil {
		return tiller.Result{}, failure
	}
	defer func() { m.conns.release(c, m.cfg.Clock.Now()) }()
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeCancelled)
		stream.CancelWrite(codeCancelled)
	})
	defer stop()
	if failure := m.writeForward(ctx, stream, to, f); failure != nil {
		return tiller.Result{}, failure
	}
	return m.readReply(ctx, stream, f.Query.ID)
}

func (m *Messenger) openForwardStream(ctx context.Context, to int) (*quic.Stream, *peerConn, *tiller.Failure) {
	var stream *quic.Stream
	c, err := m.openStreamTo(ctx, to, func(conn *quic.Conn) (err error) {
		stream, err = conn.OpenStreamSync(ctx)
		return err
	})
	if err != nil {
		return nil, nil, tiller.NewFailure(tiller.NotRun, reasonOf(ctx, err, tiller.ReasonConnectFailed), err)
	}
	return stream, c, nil
}

func (m *Messenger) writeForward(ctx context.Context, stream *quic.Stream, to int, f Forward) *tiller.Failure {
	b, err := encode(forwardRequest{
		From:            m.cfg.Seat(),
		To:              to,
		Query:           f.Query.WithDeadline(0),
		Redirects:       f.Redirects,
		RemainingMillis: f.Query.Deadline - m.cfg.Clock.Now(),
	})
	if err != nil {
		stream.CancelRead(codeCancelled)
		stream.CancelWrite(codeCancelled)
		return tiller.NewFailure(tiller.NotRun, tiller.ReasonBadRequest, err)
	}
	if ctx.Err() != nil {
		return tiller.NewFailure(tiller.NotRun, reasonOf(ctx, ctx.Err(), tiller.ReasonCancelled), ctx.Err())
	}
	m.count(countSent, 1)
	// Errors of Write and Close are ignored: even a failed Write may have sent the whole request.
	// Reading the reply then fails with the verdict for the query.
	if _, err := stream.Write(b); err == nil {
		_ = stream.Close()
	}
	return nil
}

func (m *Messenger) readReply(ctx context.Context, stream *quic.Stream, id tiller.RequestID) (tiller.Result, *tiller.Failure) {
	b, err := readMessage(stream)
	if err != nil {
		stream.CancelRead(codeCancelled)
		return tiller.Result{}, replyFailure(ctx, err)
	}
	var reply forwardReply
	if err := decode(b, &reply); err != nil {
		m.count(countUndecodable, 1)
		return tiller.Result{}, tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonMismatch, err)
	}
	if !reply.isValidFor(id) {
		m.count(countMismatched, 1)
		return tiller.Result{}, tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonMismatch, nil)
	}
	return reply.Result, nil
}

// replyFailure returns the failure of a query whose reply could not be read.
func replyFailure(ctx context.Context, err error) *tiller.Failure {
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote && reset.ErrorCode == codeNotRun {
		return tiller.NewFailure(tiller.NotRun, tiller.ReasonBadRequest, err)
	}
	return tiller.NewFailure(tiller.MayHaveRun, reasonOf(ctx, err, tiller.ReasonConnectionLost), err)
}

// reasonOf returns the reason for an error, or fallback if neither ctx nor an idle time-out caused it.
func reasonOf(ctx context.Context, err error, fallback tiller.Reason) tiller.Reason {
	var idle *quic.IdleTimeoutError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return tiller.ReasonTimeout
	case ctx.Err() != nil:
		return tiller.ReasonCancelled
	case errors.As(err, &idle):
		return tiller.ReasonSilent
	}
	return fallback
}
