package messenger

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Application error codes with which a stream is cancelled.
const (
	codeCancelled quic.StreamErrorCode = iota
	// codeNotRun means that the receiver could not read or decode the message, so nothing ran.
	codeNotRun
)

// accept registers incoming connections until the Messenger is closed. Accept returns a connection after its
// handshake, so the peer's certificate has been verified.
func (m *Messenger) accept() {
	for {
		conn, err := m.listener.Accept(m.ctx)
		if err != nil {
			return
		}
		if err := m.register(conn); err != nil {
			m.cfg.Log.V(1).Info("connection refused", "address", conn.RemoteAddr().String(), "cause", err.Error())
		}
	}
}

// serve handles the streams that the peer opens until the connection ends, and then removes the connection.
func (m *Messenger) serve(c *peerConn) {
	defer m.conns.remove(c)
	m.spawn(func() { m.serveNotices(c) })
	for {
		stream, err := c.conn.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		m.spawn(func() { m.serveForward(c, stream) })
	}
}

func (m *Messenger) serveNotices(c *peerConn) {
	for {
		stream, err := c.conn.AcceptUniStream(m.ctx)
		if err != nil {
			return
		}
		m.spawn(func() { m.serveNotice(c, stream) })
	}
}

func (m *Messenger) serveNotice(c *peerConn, stream *quic.ReceiveStream) {
	m.conns.retain(c, m.cfg.Clock.Now())
	defer func() { m.conns.release(c, m.cfg.Clock.Now()) }()
	_ = stream.SetReadDeadline(time.Now().Add(messageTimeoutMillis.Duration()))
	b, err := readMessage(stream)
	if err != nil {
		stream.CancelRead(codeNotRun)
		m.countReadError(err)
		return
	}
	var n notice
	if err := decode(b, &n); err != nil {
		m.count(countUndecodable, 1)
		return
	}
	if n.To != m.cfg.Seat() {
		m.count(countMisaddressed, 1)
		return
	}
	m.count(countReceived, 1)
	m.dispatch(n)
}

func (m *Messenger) dispatch(n notice) {
	if m.cfg.OnLease != nil {
		for _, lease := range n.Leases {
			m.cfg.OnLease(n.From, lease)
		}
	}
	if n.Leaving != nil && m.cfg.OnLeaving != nil {
		m.cfg.OnLeaving(n.From, *n.Leaving)
	}
	if n.Digest != nil && m.cfg.OnDigest != nil {
		m.cfg.OnDigest(n.From, *n.Digest)
	}
	if n.Push != nil && m.cfg.OnPush != nil {
		m.cfg.OnPush(n.From, *n.Push)
	}
}

// countReadError counts a message that is too large. Other read errors are not counted: the connection or
// the peer ended the stream, or it timed out.
func (m *Messenger) countReadError(err error) {
	if errors.Is(err, errTooLarge) {
		m.count(countTooLarge, 1)
	}
}

// serveForward runs a peer's query and sends the reply. The stream's context, with which the query runs, ends
// when the peer cancels the stream or the connection ends.
func (m *Messenger) serveForward(c *peerConn, stream *quic.Stream) {
	m.conns.retain(c, m.cfg.Clock.Now())
	defer func() { m.conns.release(c, m.cfg.Clock.Now()) }()
	_ = stream.SetReadDeadline(time.Now().Add(messageTimeoutMillis.Duration()))
	request, err := m.readForward(stream)
	if err != nil {
		stream.CancelRead(codeNotRun)
		stream.CancelWrite(codeNotRun)
		return
	}
	m.count(countReceived, 1)
	b, err := encode(forwardReply{Result: m.runForward(stream.Context(), request)})
	if err != nil {
		m.count(countTooLarge, 1)
		stream.CancelWrite(codeCancelled)
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(messageTimeoutMillis.Duration()))
	if _, err := stream.Write(b); err != nil {
		stream.CancelWrite(codeCancelled)
		return
	}
	_ = stream.Close()
}

func (m *Messenger) readForward(stream *quic.Stream) (forwardRequest, error) {
	var request forwardRequest
	b, err := readMessage(stream)
	if err != nil {
		m.countReadError(err)
		return request, err
	}
	if err := decode(b, &request); err != nil {
		m.count(countUndecodable, 1)
		return request, err
	}
	return request, nil
}

// runForward passes a query to OnForward with a deadline on this daemon's clock. It refuses a query for
// another seat or without remaining time, and every query if there is no handler.
func (m *Messenger) runForward(ctx context.Context, request forwardRequest) tiller.Result {
	if request.To != m.cfg.Seat() {
		m.count(countMisaddressed, 1)
		return refusal(request.Query.ID, tiller.ReasonNotOwner)
	}
	if m.cfg.OnForward == nil {
		return refusal(request.Query.ID, tiller.ReasonNotReady)
	}
	if request.RemainingMillis <= 0 {
		return refusal(request.Query.ID, tiller.ReasonDeadlinePast)
	}
	remaining := min(request.RemainingMillis, tiller.Hour)
	query := request.Query.WithDeadline(m.cfg.Clock.Now() + remaining)
	return m.cfg.OnForward(ctx, request.From, Forward{Query: query, Redirects: request.Redirects})
}

func refusal(id tiller.RequestID, reason tiller.Reason) tiller.Result {
	return tiller.Result{Refusal: &tiller.Refusal{ID: id, Verdict: tiller.NotRun, Reason: reason, Owner: -1}}
}
