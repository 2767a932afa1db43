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
	"github.com/carawaytiller/carawaytiller/verifier"
)

var (
	errLeaseExpired           = errors.New("lease expired before the request was written")
	errLeaseExpiredMidRequest = errors.New("lease expired before the request body was written")
	errResponseLarge          = errors.New("response body exceeds 16 MiB")
)

// exchangeKey is the context key of an exchange.
type exchangeKey struct{}

// exchange tracks one HTTP request and its response through the generated client and net/http.
type exchange struct {
	conn       *conn
	validUntil tiller.Millis
	// isReservationUsed is set when a RoundTrip has consumed the reservation on the connection.
	isReservationUsed bool
	// isWritten is set before the first byte of the request can reach the connection.
	isWritten atomic.Bool
	// hasLeaseExpired is set when the lease expired after the header and before the body was written.
	hasLeaseExpired atomic.Bool
	// roundTripErr is the error of the round trip, readErr the error of reading the response body.
	roundTripErr error
	readErr      error
	// statusErr is set if the status of the response is not that of a final one.
	statusErr error
}

// newExchange returns an exchange on c, for which the caller has a reservation, and the context that
// carries it. No request is written after validUntil.
func newExchange(ctx context.Context, c *conn, validUntil tiller.Millis) (context.Context, *exchange) {
	e := &exchange{conn: c, validUntil: validUntil}
	// net/http calls WroteHeaderField while it encodes the header, before it writes the first frame of
	// the request. So isWritten may be set although nothing was written, but not the other way round.
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { e.isWritten.Store(true) }}
	ctx = context.WithValue(ctx, exchangeKey{}, e)
	return httptrace.WithClientTrace(ctx, trace), e
}

// newUnleasedExchange returns an exchange for a request that needs no lease, such as a health check.
func newUnleasedExchange(ctx context.Context, c *conn) (context.Context, *exchange) {
	return newExchange(ctx, c, math.MaxInt64)
}

// do sends r at most once and returns the response. Reading more than maxResponseBytes of its body fails.
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
	if e.statusErr = verifier.CheckStatus(resp.StatusCode); e.statusErr != nil {
		e.reject(resp)
		return nil, e.statusErr
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, exchange: e, remaining: maxResponseBytes}
	return resp, nil
}

// reject ends a response whose body is not read. Over HTTP/1.1 the bytes that follow it may look like the next response,
// so the connection is closed.
func (e *exchange) reject(resp *http.Response) {
	if e.conn.isHTTP1 {
		e.conn.pool.discard(e.conn, tiller.ReasonMismatch)
	}
	_ = resp.Body.Close()
}

func (e *exchange) isExpired() bool {
	return e.conn.pool.now() > e.validUntil
}

// release returns the reservation if no request used it.
func (e *exchange) release() {
	if !e.isReservationUsed {
		e.conn.cc.Release()
	}
}

// requestBody fails the first Read if the lease has expired since the header was written. The stream is
// then reset, and the upstream does not receive the body.
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

// responseBody limits the size of a response body and records the first read error in the exchange.
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
