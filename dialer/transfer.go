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
	errLeaseExpired  = errors.New("lease expired before the request was written")
	errLeaseLost     = errors.New("lease expired while the request was written")
	errResponseLarge = errors.New("response is larger than 16 MiB")
)

// transferKey is the context key of a transfer.
type transferKey struct{}

// transfer follows one HTTP request through the generated client and net/http.
type transfer struct {
	conn       *conn
	validUntil tiller.Millis
	// isUsed says that the reservation on the connection has been consumed.
	isUsed bool
	// isWritten is set before the first byte of the request can reach the connection.
	isWritten atomic.Bool
	// isLate is set when the lease ended between header and body.
	isLate atomic.Bool
	// sendErr is the error of the round trip, readErr that of reading the response's body.
	sendErr error
	readErr error
}

// newTransfer returns a transfer on c and the context that carries it.
func newTransfer(ctx context.Context, c *conn, validUntil tiller.Millis) (context.Context, *transfer) {
	t := &transfer{conn: c, validUntil: validUntil}
	// net/http calls WroteHeaderField while it encodes the header, before it writes the first frame of
	// the request. The mark therefore errs towards "written".
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { t.isWritten.Store(true) }}
	ctx = context.WithValue(ctx, transferKey{}, t)
	return httptrace.WithClientTrace(ctx, trace), t
}

// newCheck returns a transfer that no lease bounds.
func newCheck(ctx context.Context, c *conn) (context.Context, *transfer) {
	return newTransfer(ctx, c, math.MaxInt64)
}

// do sends r once and returns the response with a bounded body.
func (t *transfer) do(r *http.Request) (*http.Response, error) {
	r.GetBody = nil
	if r.Body != nil {
		r.Body = &requestBody{ReadCloser: r.Body, transfer: t}
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if t.isExpired() {
		t.sendErr = errLeaseExpired
		return nil, errLeaseExpired
	}
	t.isUsed = true
	resp, err := t.conn.cc.RoundTrip(r)
	if err != nil {
		t.sendErr = err
		return nil, err
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, transfer: t, left: maxResponseBytes}
	return resp, nil
}

func (t *transfer) isExpired() bool {
	return t.conn.pool.now() > t.validUntil
}

// end gives back the reservation if no request consumed it.
func (t *transfer) end() {
	if !t.isUsed {
		t.conn.cc.Release()
	}
}

// requestBody stops a request whose lease ended after its header was written: the stream is reset
// and the upstream never gets the body.
type requestBody struct {
	io.ReadCloser
	transfer *transfer
	isBegun  bool
}

func (b *requestBody) Read(p []byte) (int, error) {
	if !b.isBegun {
		b.isBegun = true
		if b.transfer.isExpired() {
			b.transfer.isLate.Store(true)
			return 0, errLeaseLost
		}
	}
	return b.ReadCloser.Read(p)
}

// responseBody bounds the size of a response and keeps the error with which it ended.
type responseBody struct {
	io.ReadCloser
	transfer *transfer
	left     int
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= n
	if b.left < 0 {
		err = errResponseLarge
	}
	if err != nil && !errors.Is(err, io.EOF) && b.transfer.readErr == nil {
		b.transfer.readErr = err
	}
	return n, err
}
