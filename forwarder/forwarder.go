// Package forwarder sends HTTP/1.1 requests over kept connections, one request at a time on a
// connection. A connection is used again only after a whole answer that belongs to its request
// and nothing beyond it. Errors are of type *Failure and say whether the request may have run.
package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// dialTimeout bounds the opening of a connection: an answer to the first packet takes tens of
	// milliseconds, and a lost packet is sent again only after a second.
	dialTimeout = 700 * time.Millisecond
	// defaultKeepAlive is the time for which an idle connection is kept when the upstream names none.
	defaultKeepAlive = 20 * tiller.Second
	// maxResponseBytes bounds the body of an answer, which is held in memory.
	maxResponseBytes = 8 << 20
	// concurrentWriteBytes is the body size from which the answer is read while the body is written,
	// because an upstream may answer before it has read all of it.
	concurrentWriteBytes = 4 << 10
)

// Request is one request to an upstream or a daemon.
type Request struct {
	// Address is host and port.
	Address string
	// Key separates the connections of processes that use one address after another.
	Key    string
	Method string
	// URI is path and query as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is compared with the identifier in the answer.
	ID string
	// KeepAlive is the time for which the connection is kept while idle if the answer names none; 0 stands for
	// 20 s, which upstreams usually allow.
	KeepAlive tiller.Millis
	// MaxIdle is the longest time for which a used connection may have been idle; 0 sets no bound.
	MaxIdle tiller.Millis
	// OnAccepted is called when the header of the answer has come; it may be nil. Its argument sends one
	// byte after the request, which tells the other end that its header was seen in time; it may be
	// called once, also later. Without that byte the connection is not used again.
	OnAccepted func(confirm func())
}

// confirmationByte follows a request with Accepted.
var confirmationByte = []byte{1}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Opened says that the request opened a new connection.
	Opened bool
}

// Client sends requests. Its methods may be called concurrently.
type Client struct {
	clock tiller.Clock
	// responseID returns the identifier in the headers of an answer, or "".
	responseID func(http.Header) string
	dial       func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[string][]*connection
	opened int64
}

// New returns a client. responseID reads the identifier of an answer from its headers.
func New(clock tiller.Clock, responseID func(http.Header) string) *Client {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Client{
		clock:      clock,
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

// Do sends a request and returns the whole answer. When ctx ends first, it closes the connection,
// which cancels the request.
func (c *Client) Do(ctx context.Context, r Request) (Response, *tiller.Failure) {
	conn, failure := c.acquire(ctx, r)
	if failure != nil {
		return Response{}, failure
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp, reusable, failure := conn.roundTrip(r)
	stopped := stop()
	if failure == nil {
		failure = c.checkID(r, resp)
	}
	if failure != nil {
		_ = conn.Close()
		if err := ctx.Err(); err != nil && failure.Verdict != tiller.NotRun {
			failure = tiller.NewFailure(failure.Verdict, contextReason(err), err)
		}
		return Response{}, failure
	}
	resp.Opened = conn.newlyOpened
	if !reusable || !stopped {
		_ = conn.Close()
		return resp, nil
	}
	c.putIdle(r, conn, resp.Header)
	return resp, nil
}

// Warm opens n connections that later requests with the Address and Key of r use, and keeps them for the
// Keep of r. A connection that cannot be opened is left to those requests, which report it.
func (c *Client) Warm(r Request, n int) {
	for range n {
		conn, failure := c.open(context.Background(), r)
		if failure != nil {
			return
		}
		c.putIdle(r, conn, nil)
	}
}

func contextReason(err error) tiller.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return tiller.ReasonTimeout
	}
	return tiller.ReasonCancelled
}

// checkID reports an answer that belongs to another request.
func (c *Client) checkID(r Request, resp Response) *tiller.Failure {
	got := c.responseID(resp.Header)
	if got == "" || got == r.ID {
		return nil
	}
	err := errors.Errorf("the answer belongs to request %q", got)
	return tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonMismatch, err)
}

// acquire returns a usable idle connection, or opens one.
func (c *Client) acquire(ctx context.Context, r Request) (*connection, *tiller.Failure) {
	now := c.clock.Now()
	for {
		conn := c.popIdle(poolKey(r))
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

// open opens a connection.
func (c *Client) open(ctx context.Context, r Request) (*connection, *tiller.Failure) {
	raw, err := c.dial(ctx, r.Address)
	if err != nil {
		return nil, tiller.NewFailure(tiller.NotRun, tiller.ReasonConnectFailed, err)
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	keep := r.KeepAlive
	if keep <= 0 {
		keep = defaultKeepAlive
	}
	return &connection{Conn: raw, reader: bufio.NewReader(raw), keepAlive: keep, newlyOpened: true}, nil
}

func poolKey(r Request) string { return r.Address + " " + r.Key }

// popIdle removes the connection that was used last, so that unneeded ones grow old.
func (c *Client) popIdle(key string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[key]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	if len(conns) == 1 {
		delete(c.idle, key)
	} else {
		c.idle[key] = conns[:len(conns)-1]
	}
	return conn
}

func (c *Client) putIdle(r Request, conn *connection, h http.Header) {
	if keep, ok := keepAliveTimeout(h); ok {
		conn.keepAlive = keep
	}
	conn.idleSince = c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	key := poolKey(r)
	c.idle[key] = append(c.idle[key], conn)
}

// keepAliveTimeout returns the time for which the sender of the headers keeps an idle connection, less
// a margin for a request on its way.
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

// Sweep closes idle connections that may not be used again. It is to be called every second or so.
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

// connection is a kept connection.
type connection struct {
	net.Conn
	reader      *bufio.Reader
	idleSince   tiller.Millis
	keepAlive   tiller.Millis
	newlyOpened bool
}

// roundTrip writes a request and reads its answer. It says whether the connection may be used again.
func (c *connection) roundTrip(r Request) (Response, bool, *tiller.Failure) {
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
		// An upstream that answered early and closed is not an error of the answer.
		reusable = reusable && err == nil
	default:
		// The rest of the body must not be followed by another request.
		reusable = false
		_ = c.Close()
		<-written
	}
	return resp, reusable, failure
}

func writeFailure(n int, err error) *tiller.Failure {
	if n == 0 {
		return tiller.NewFailure(tiller.NotRun, tiller.ReasonConnectionLost, err)
	}
	return tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonConnectionLost, err)
}

func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// A bytes.Buffer does not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads one whole answer.
func (c *connection) readResponse(r Request) (Response, bool, *tiller.Failure) {
	request := &http.Request{Method: r.Method}
	var confirmed atomic.Bool
	confirmed.Store(r.OnAccepted == nil)
	for {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return Response{}, false, tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonConnectionLost, err)
		}
		if resp.StatusCode < 200 {
			continue
		}
		if r.OnAccepted != nil {
			r.OnAccepted(func() {
				_, err := c.Write(confirmationByte)
				confirmed.Store(err == nil)
			})
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
		_ = resp.Body.Close()
		if err == nil && len(body) > maxResponseBytes {
			err = errors.Errorf("the answer is longer than %d bytes", maxResponseBytes)
		}
		if err != nil {
			return Response{}, false, tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonConnectionLost, err)
		}
		closeDelimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		reusable := !resp.Close && !closeDelimited && c.reader.Buffered() == 0 && confirmed.Load()
		return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, reusable, nil
	}
}
