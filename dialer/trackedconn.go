package dialer

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"

	tiller "github.com/carawaytiller/carawaytiller"
)

// meterKey is the context key under which a Transport finds the connection to use.
type trackedConnKey struct{}

// http1Greeting is how every response of an HTTP/1 server starts.
var http1Prefix = []byte("HTTP/1.")

// meter is a net.Conn that records when bytes last arrived and how the connection ended.
type trackedConn struct {
	net.Conn
	clock     tiller.Clock
	lastRead  atomic.Int64
	bytesRead atomic.Int64
	// greeted is closed when the first bytes have arrived or the connection has ended.
	firstRead     chan struct{}
	firstReadOnce sync.Once
	// isHTTP1 is set before greeted is closed when the peer answered in HTTP/1.
	isHTTP1 bool
	// isEmpty is set before greeted is closed when the peer ended the connection without a byte.
	hasEndedEmpty bool

	isClosed atomic.Bool
	// hasEnded is set before ended is called.
	hasEnded atomic.Bool
	endOnce  sync.Once
	// ended is called once when the peer or the network ends the connection, before the transport
	// learns of it; it is not called after Close.
	onEnd func()
}

func newTrackedConn(c net.Conn, clock tiller.Clock, onEnd func()) *trackedConn {
	t := &trackedConn{Conn: c, clock: clock, firstRead: make(chan struct{}), onEnd: onEnd}
	t.lastRead.Store(int64(clock.Now()))
	return t
}

// Read reads from the connection and records the time.
func (t *trackedConn) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 {
		t.lastRead.Store(int64(t.clock.Now()))
		t.bytesRead.Add(int64(n))
		t.noteFirstRead(bytes.HasPrefix(b[:n], http1Prefix), false)
	}
	if err != nil {
		t.noteFirstRead(false, n == 0)
		t.reportEnd()
	}
	return n, err
}

// Write writes to the connection.
func (t *trackedConn) Write(b []byte) (int, error) {
	n, err := t.Conn.Write(b)
	if err != nil {
		t.reportEnd()
	}
	return n, err
}

// Close closes the connection from this side.
func (t *trackedConn) Close() error {
	t.isClosed.Store(true)
	return t.Conn.Close()
}

func (t *trackedConn) noteFirstRead(isHTTP1, hasEndedEmpty bool) {
	t.firstReadOnce.Do(func() {
		t.isHTTP1 = isHTTP1
		t.hasEndedEmpty = hasEndedEmpty
		close(t.firstRead)
	})
}

// noteEnd reports the end of the connection unless this side closed it.
func (t *trackedConn) reportEnd() {
	if t.isClosed.Load() {
		return
	}
	t.hasEnded.Store(true)
	t.endOnce.Do(t.onEnd)
}

// readAt returns the time of the last byte read, or of the opening when none was.
func (t *trackedConn) lastReadAt() tiller.Millis {
	return tiller.Millis(t.lastRead.Load())
}

// received returns the number of bytes read.
func (t *trackedConn) received() int64 {
	return t.bytesRead.Load()
}
