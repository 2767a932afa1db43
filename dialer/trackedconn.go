package dialer

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"

	tiller "github.com/carawaytiller/carawaytiller"
)

// trackedConnKey is the context key of the connection that a Transport's DialContext returns.
type trackedConnKey struct{}

// http1Prefix is the prefix of every response of an HTTP/1 server.
var http1Prefix = []byte("HTTP/1.")

// trackedConn is a net.Conn that records when bytes were last read, how many, and whether the peer or
// the network ended the connection.
type trackedConn struct {
	net.Conn
	clock     tiller.Clock
	lastRead  atomic.Int64
	bytesRead atomic.Int64
	// firstRead is closed when the first bytes have been read or reading has failed.
	firstRead     chan struct{}
	firstReadOnce sync.Once
	// isHTTP1 is set if the first bytes are those of an HTTP/1 response. Read it after firstRead is closed.
	isHTTP1 bool
	// hasEndedEmpty is set if the connection ended before any byte was read. Read it after firstRead is closed.
	hasEndedEmpty bool

	isClosed atomic.Bool
	// hasEnded is set when the peer or the network has ended the connection, before onEnd is called.
	hasEnded atomic.Bool
	endOnce  sync.Once
	// onEnd is called once when the peer or the network ends the connection, before the error is returned
	// to the Transport. It is not called after Close.
	onEnd func()
}

func newTrackedConn(c net.Conn, clock tiller.Clock, onEnd func()) *trackedConn {
	t := &trackedConn{Conn: c, clock: clock, firstRead: make(chan struct{}), onEnd: onEnd}
	t.lastRead.Store(int64(clock.Now()))
	return t
}

// Read reads from the connection and records the time and the number of bytes.
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

// Write writes to the connection and reports its end on an error.
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

// noteFirstRead records the result of the first read; later calls have no effect.
func (t *trackedConn) noteFirstRead(isHTTP1, hasEndedEmpty bool) {
	t.firstReadOnce.Do(func() {
		t.isHTTP1 = isHTTP1
		t.hasEndedEmpty = hasEndedEmpty
		close(t.firstRead)
	})
}

// reportEnd calls onEnd unless this side closed the connection.
func (t *trackedConn) reportEnd() {
	if t.isClosed.Load() {
		return
	}
	t.hasEnded.Store(true)
	t.endOnce.Do(t.onEnd)
}

// lastReadAt returns the time of the last read of bytes, or of opening the connection if there was none.
func (t *trackedConn) lastReadAt() tiller.Millis {
	return tiller.Millis(t.lastRead.Load())
}

// received returns the number of bytes read so far.
func (t *trackedConn) received() int64 {
	return t.bytesRead.Load()
}
