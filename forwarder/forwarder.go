// Package forwarder sends HTTP/1.1 requests over pooled connections, one request at a time on each, without
// pipelining. A connection is reused only after a complete response that belongs to its request, with no
// bytes after it. Errors are of type *tiller.Failure and tell whether the request may have run.
package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/accountant"
	"github.com/carawaytiller/carawaytiller/verifier"
)

const (
	// dialTimeout bounds the opening of a connection. The SYN is answered within tens of milliseconds, and a
	// lost one is retransmitted only after a second.
	dialTimeout = 700 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if the response has no Keep-Alive timeout.
	defaultKeepAlive = 20 * tiller.Second
	// maxResponseBytes bounds a response body, which is held in memory.
	maxResponseBytes = 8 << 20
	// maxHeadBytes bounds the heads of a response and of the interim responses before it.
	maxHeadBytes = 256 << 10
	// concurrentWriteBytes is the body size from which the response is read while the body is written,
	// because an upstream may respond before it has read the whole body.
	concurrentWriteBytes = 4 << 10
)

// Request is a request to an upstream or another daemon.
type Request struct {
	// Address is host:port.
	Address string
	// Key separates the pooled connections of successive processes at the same address.
	Key    string
	Method string
	// URI is the path and query string, unmodified from the client.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is compared with the request ID in the response, if it has one.
	ID string
	// KeepAlive is how long the connection is kept while idle if the response has no Keep-Alive timeout. 0
	// means 20 s, which upstreams usually allow.
	KeepAlive tiller.Millis
	// MaxIdle is the maximum idle time of a connection reused for this request; 0 means no limit.
	MaxIdle tiller.Millis
	// Protected keeps the response from being cut off for others when memory is short.
	Protected bool
	// OnAccepted, if not nil, is called when the response header has arrived. confirm sends one byte after the
	// request, which tells the other end that its header was seen in time. confirm may be called at most
	// once, also after OnAccepted has returned. If it has not been called when the response is complete,
	// the connection is not reused.
	OnAccepted func(confirm func())
	// ReadBody, if not nil, reads the body of the response to its end as it arrives. Response.Body is then empty.
	ReadBody func(h http.Header, body io.Reader) error
}

// confirmationByte is sent by the confirm function of Request.OnAccepted.
var confirmationByte = []byte{1}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Opened reports whether the request used a newly opened connection.
	Opened bool
	// Holding covers the memory of the response. The caller releases it.
	Holding *accountant.Holding
}

// Client sends requests and pools idle connections. Its methods may be called concurrently.
type Client struct {
	clock   tiller.Clock
	account *accountant.Account
	// responseID returns the request ID in response headers, or "".
	responseID func(http.Header) string
	dial       func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[string][]*connection
	opened int64
}

// New returns a Client whose responses are held in account. responseID returns the request ID in response headers, or "".
func New(clock tiller.Clock, account *accountant.Account, responseID func(http.Header) string) *Client {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Client{
		clock:      clock,
		account:    account,
		responseID: responseID,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		},
		idle: make(map[string][]*connection),
	}
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Do sends a request and returns the complete response. If ctx ends first, Do closes the connection, which
// cancels the request at the other end.
func (c *Client) Do(ctx context.Context, r Request) (Response, *tiller.Failure) {
	conn, failure := c.acquire(ctx, r)
	if failure != nil {
		return Response{}, failure
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	held := c.account.Open(func() { _ = conn.Close() })
	if r.Protected {
		held.Protect()
	}
	conn.received.holding = held
	resp, reusable, failure := conn.roundTrip(r)
	conn.received.holding = nil
	// From here on, abort must not close the connection, which may carry other requests.
	held.Protect()
	reusable = reusable && !held.WasCut()
	stopped := stop()
	if failure == nil {
		failure = c.checkID(r, resp)
	}
	if failure != nil {
		_ = conn.Close()
		if held.WasCut() && failure.Verdict != tiller.NotRun {
			failure = tiller.NewFailure(failure.Verdict, tiller.ReasonMemoryLimit, accountant.ErrLimit)
		}
		held.Release()
		if err := ctx.Err(); err != nil && failure.Verdict != tiller.NotRun {
			failure = tiller.NewFailure(failure.Verdict, contextReason(err), err)
		}
		return Response{}, failure
	}
	resp.Opened, resp.Holding = conn.newlyOpened, held
	if !reusable || !stopped {
		_ = conn.Close()
		return resp, nil
	}
	c.putIdle(r, conn, resp.Header)
	return resp, nil
}

// Warm opens n connections for later requests with the Address and Key of r, and keeps them for
// r.KeepAlive. It stops at the first connection that cannot be opened, and reports no error: later
// requests open their own connections and report failures.
func (c *Client) Warm(r Request, n int) {
	for range n {
		conn, failure := c.open(context.Background(), r)
		if failure != nil {
			return
		}
		c.putIdle(r, conn, nil)
	}
}

// Reach opens a connection for later requests with the Address and Key of r, and reports whether it succeeded.
func (c *Client) Reach(ctx context.Context, r Request) bool {
	conn, failure := c.open(ctx, r)
	if failure != nil {
		return false
	}
	c.putIdle(r, conn, nil)
	return true
}

// contextReason maps the error of an ended context to a reason.
func contextReason(err error) tiller.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return tiller.ReasonTimeout
	}
	return tiller.ReasonCancelled
}

// checkID returns a failure if the response carries the ID of a different request.
func (c *Client) checkID(r Request, resp Response) *tiller.Failure {
	got := c.responseID(resp.Header)
	if got == "" || got == r.ID {
		return nil
	}
	err := errors.Errorf("answer carries request ID %q, want %q", got, r.ID)
	return tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonMismatch, err)
}

// acquire returns a reusable idle connection, or opens a new one.
func (c *Client) acquire(ctx context.Context, r Request) (*connection, *tiller.Failure) {
	now := c.clock.Now()
	for {
		conn := c.popIdle(r)
		if conn == nil {
			break
		}
		idle := now - conn.idleSince
		if idle < conn.keepAlive && (r.MaxIdle == 0 || idle <= r.MaxIdle) && IsIdle(conn.Conn) {
			conn.newlyOpened = false
			return conn, nil
		}
		_ = conn.Close()
	}
	return c.open(ctx, r)
}

// open opens a new connection.
func (c *Client) open(ctx context.Context, r Request) (*connection, *tiller.Failure) {
	raw, err := c.dial(ctx, r.Address)
	if err != nil {
		return nil, tiller.NewFailure(tiller.NotRun, tiller.ReasonConnectFailed, err)
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	keepAlive := r.KeepAlive
	if keepAlive <= 0 {
		keepAlive = defaultKeepAlive
	}
	received := &receivedBytes{conn: raw}
	return &connection{Conn: raw, received: received, reader: bufio.NewReader(received), keepAlive: keepAlive, newlyOpened: true}, nil
}

func poolKey(r Request) string { return r.Address + " " + r.Key }

// popIdle removes and returns the most recently used connection, so that surplus connections expire. It returns
// nil if there is none. It leaves out connections that have carried a request with the ID of r.
func (c *Client) popIdle(r Request) *connection {
	key := poolKey(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[key]
	for i, conn := range slices.Backward(conns) {
		if conn.sent.contains(r.ID) {
			continue
		}
		if len(conns) == 1 {
			delete(c.idle, key)
		} else {
			c.idle[key] = slices.Delete(conns, i, i+1)
		}
		return conn
	}
	return nil
}

// putIdle adds a connection to the pool. h holds the response headers, and may be nil.
func (c *Client) putIdle(r Request, conn *connection, h http.Header) {
	if keepAlive, ok := keepAliveTimeout(h); ok {
		conn.keepAlive = keepAlive
	}
	conn.idleSince = c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	key := poolKey(r)
	c.idle[key] = append(c.idle[key], conn)
}

// keepAliveTimeout returns the timeout of the Keep-Alive header, less a margin of 20 % and 100 ms so that a
// request in transit arrives before the timeout. It returns false if there is no valid timeout.
func keepAliveTimeout(h http.Header) (tiller.Millis, bool) {
	for _, field := range strings.FieldsFunc(h.Get("Keep-Alive"), func(r rune) bool { return r == ',' || r == ' ' }) {
		value, ok := strings.CutPrefix(field, "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return tiller.Millis(seconds)*tiller.Second*4/5 - 100, true
	}
	return 0, false
}

// Sweep closes idle connections that must not be reused. It should be called about once per second.
func (c *Client) Sweep() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, conns := range c.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if now-conn.idleSince < conn.keepAlive && IsIdle(conn.Conn) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
		}
		if len(kept) == 0 {
			delete(c.idle, key)
			continue
		}
		c.idle[key] = kept
	}
}

// CloseIdle closes the idle connections to the process that key names at an address.
func (c *Client) CloseIdle(address, key string) {
	pool := poolKey(Request{Address: address, Key: key})
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[pool] {
		_ = conn.Close()
	}
	delete(c.idle, pool)
}

// connection is a pooled connection.
type connection struct {
	net.Conn
	// received bounds the bytes that reader takes from Conn, which may come without end.
	received    *receivedBytes
	reader      *bufio.Reader
	idleSince   tiller.Millis
	keepAlive   tiller.Millis
	newlyOpened bool
	// sent holds the IDs of the last requests. Responses are told apart by them, so the same ID is not sent twice.
	sent sentIDs
}

// roundTrip writes a request and reads its response. The second result reports whether the connection is reusable.
func (c *connection) roundTrip(r Request) (Response, bool, *tiller.Failure) {
	c.sent.add(r.ID)
	head := encodeHead(r)
	if len(r.Body) < concurrentWriteBytes {
		n, err := c.Write(append(head, r.Body...))
		if err != nil {
			return Response{}, false, writeFailure(n, err)
		}
		return c.readResponse(r)
	}
	if n, err := c.Write(head); err != nil {
		return Response{}, false, writeFailure(n, err)
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(r.Body)
		written <- err
	}()
	resp, reusable, failure := c.readResponse(r)
	select {
	case err := <-written:
		// If an upstream responded early and closed the connection, the response is still valid.
		reusable = reusable && err == nil
	default:
		// The body was not written completely, so no other request may follow on the connection.
		reusable = false
		_ = c.Close()
		<-written
	}
	return resp, reusable, failure
}

// readBody reads the body of a response to its end.
func readBody(r Request, resp *http.Response) ([]byte, error) {
	limited := &io.LimitedReader{R: resp.Body, N: maxResponseBytes + 1}
	var body []byte
	var err error
	if r.ReadBody != nil {
		err = r.ReadBody(resp.Header, limited)
	} else {
		body, err = io.ReadAll(limited)
	}
	if err == nil && limited.N <= 0 {
		err = errTooLong
	}
	return body, err
}

// writeFailure returns the failure of a write after n bytes: without any bytes, the request did not run.
func writeFailure(n int, err error) *tiller.Failure {
	if n == 0 {
		return tiller.NewFailure(tiller.NotRun, tiller.ReasonConnectionLost, err)
	}
	return tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonConnectionLost, err)
}

// encodeHead encodes the request line and the headers.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a bytes.Buffer cannot fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads one complete response, and skips interim (1xx) responses. A response without a valid status is a
// failure, whatever follows its head. The second result reports whether the connection is reusable.
func (c *connection) readResponse(r Request) (Response, bool, *tiller.Failure) {
	request := &http.Request{Method: r.Method}
	var confirmed atomic.Bool
	confirmed.Store(r.OnAccepted == nil)
	c.received.allow(maxHeadBytes)
	for {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return Response{}, false, c.received.failure(err)
		}
		if verifier.IsInterim(resp) {
			continue
		}
		if err := verifier.CheckStatus(resp.StatusCode); err != nil {
			return Response{}, false, tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonMismatch, err)
		}
		if r.OnAccepted != nil {
			r.OnAccepted(func() {
				_, err := c.Write(confirmationByte)
				confirmed.Store(err == nil)
			})
		}
		// Chunks of one byte are the longest encoding of a body.
		c.received.allow(maxHeadBytes + 8*maxResponseBytes)
		body, err := readBody(r, resp)
		if err != nil {
			// Closing the body would read what is left of it.
			_ = c.Close()
			return Response{}, false, c.received.failure(err)
		}
		_ = resp.Body.Close()
		closeDelimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		reusable := !resp.Close && !closeDelimited && c.reader.Buffered() == 0 && confirmed.Load()
		return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, reusable, nil
	}
}
