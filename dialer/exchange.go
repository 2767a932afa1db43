package dialer

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	tiller "github.com/carawaytiller/carawaytiller"
)

var (
	errLeaseExpired           = errors.New("lease expired before the request was written")
	errLeaseExpiredMidRequest = errors.New("lease expired while the request was written")
	errResponseLarge          = errors.New("response is larger than 16 MiB")
)

// transferKey is the context key of a transfer.
type exchangeKey struct{}

// transfer follows one HTTP request through the generated client and net/http.
type exchange struct {
	conn       *conn
	validUntil tiller.Millis
	// isUsed says that the reservation on the connection has been consumed.
	isReservationUsed bool
	// isWritten is set before the first byte of the request can reach the connection.
	isWritten atomic.Bool
	// isLate is set when the lease ended between header and body.
	hasLeaseExpired atomic.Bool
	// sendErr is the error of the round trip, readErr that of reading the response's body.
	roundTripErr error
	readErr      error
}

// newTransfer returns a transfer on c and the context that carries it.
func newExchange(ctx context.Context, c *conn, validUntil tiller.Millis) (context.Context, *exchange) {
	e := &exchange{conn: c, validUntil: validUntil}
	// net/http calls WroteHeaderField while it encodes the header, before it writes the first frame of
	// the request. The mark therefore errs towards "written".
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { e.isWritten.Store(true) }}
	ctx = context.WithValue(ctx, exchangeKey{}, e)
	return httptrace.WithClientTrace(ctx, trace), e
}

// newCheck returns a transfer that no lease bounds.
func newUnleasedExchange(ctx context.Context, c *conn) (context.Context, *exchange) {
	return newExchange(ctx, c, math.MaxInt64)
}

// do sends r once and returns the response with a bounded body.
func (e *exchange) do(r *http.Request) (*http.Response, error) {
	r.GetBody = nil
	if r.Body != nil {
		r.Body = &requestBody{ReadCloser: r.Body, exchange: e}
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if e.isExpired() {
		e.roundTripErr = errLeaseExpired
		return nil, errLeaseExpired
	}
	e.isReservationUsed = true
	resp, err := e.conn.cc.RoundTrip(r)
	if err != nil {
		e.roundTripErr = err
		return nil, err
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, exchange: e, remaining: maxResponseBytes}
	return resp, nil
}

func (e *exchange) isExpired() bool {
	return e.conn.pool.now() > e.validUntil
}

// end gives back the reservation if no request consumed it.
func (e *exchange) release() {
	if !e.isReservationUsed {
		e.conn.cc.Release()
	}
}

// requestBody stops a request whose lease ended after its header was written: the stream is reset
// and the upstream never gets the body.
type requestBody struct {
	io.ReadCloser
	exchange   *exchange
	hasStarted bool
}

func (b *requestBody) Read(p []byte) (int, error) {
	if !b.hasStarted {
		b.hasStarted = true
		if b.exchange.isExpired() {
			b.exchange.hasLeaseExpired.Store(true)
			return 0, errLeaseExpiredMidRequest
		}
	}
	return b.ReadCloser.Read(p)
}

// responseBody bounds the size of a response and keeps the error with which it ended.
type responseBody struct {
	io.ReadCloser
	exchange  *exchange
	remaining int
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.remaining -= n
	if b.remaining < 0 {
		err = errResponseLarge
	}
	if err != nil && !errors.Is(err, io.EOF) && b.exchange.readErr == nil {
		b.exchange.readErr = err
	}
	return n, err
}
