package dialer

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"

	tiller "github.com/carawaytiller/carawaytiller"
)

// meterKey is the context key under which a Transport finds the connection to use.
type meterKey struct{}

// http1Greeting is how every response of an HTTP/1 server starts.
var http1Greeting = []byte("HTTP/1.")

// meter is a net.Conn that records when bytes last arrived and how the connection ended.
type meter struct {
	net.Conn
	clock     tiller.Clock
	lastRead  atomic.Int64
	bytesRead atomic.Int64
	// greeted is closed when the first bytes have arrived or the connection has ended.
	greeted   chan struct{}
	greetOnce sync.Once
	// isHTTP1 is set before greeted is closed when the peer answered in HTTP/1.
	isHTTP1 bool
	// isEmpty is set before greeted is closed when the peer ended the connection without a byte.
	isEmpty bool

	isClosed atomic.Bool
	// hasEnded is set before ended is called.
	hasEnded atomic.Bool
	endOnce  sync.Once
	// ended is called once when the peer or the network ends the connection, before the transport
	// learns of it; it is not called after Close.
	ended func()
}

func newMeter(c net.Conn, clock tiller.Clock, ended func()) *meter {
	m := &meter{Conn: c, clock: clock, greeted: make(chan struct{}), ended: ended}
	m.lastRead.Store(int64(clock.Now()))
	return m
}

// Read reads from the connection and records the time.
func (m *meter) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	if n > 0 {
		m.lastRead.Store(int64(m.clock.Now()))
		m.bytesRead.Add(int64(n))
		m.greet(bytes.HasPrefix(b[:n], http1Greeting), false)
	}
	if err != nil {
		m.greet(false, n == 0)
		m.noteEnd()
	}
	return n, err
}

// Write writes to the connection.
func (m *meter) Write(b []byte) (int, error) {
	n, err := m.Conn.Write(b)
	if err != nil {
		m.noteEnd()
	}
	return n, err
}

// Close closes the connection from this side.
func (m *meter) Close() error {
	m.isClosed.Store(true)
	return m.Conn.Close()
}

func (m *meter) greet(isHTTP1, isEmpty bool) {
	m.greetOnce.Do(func() {
		m.isHTTP1 = isHTTP1
		m.isEmpty = isEmpty
		close(m.greeted)
	})
}

// noteEnd reports the end of the connection unless this side closed it.
func (m *meter) noteEnd() {
	if m.isClosed.Load() {
		return
	}
	m.hasEnded.Store(true)
	m.endOnce.Do(m.ended)
}

// readAt returns the time of the last byte read, or of the opening when none was.
func (m *meter) readAt() tiller.Millis {
	return tiller.Millis(m.lastRead.Load())
}

// received returns the number of bytes read.
func (m *meter) received() int64 {
	return m.bytesRead.Load()
}
