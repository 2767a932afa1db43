package messenger

import (
	"container/list"
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Application error codes with which a connection is closed.
const (
	codeClosing quic.ApplicationErrorCode = iota
	codeIdle
	codeEvicted
	codeTooMany
)

var errTooManyConnections = errors.New("connection limit reached and all connections are in use")

// peerConn is an open connection to a peer. A peer is identified by its address, so one connection serves
// both directions, whichever side opened it.
type peerConn struct {
	conn    *quic.Conn
	address string
	// activeUses counts the messages being sent, received or answered. A connection in use is closed
	// neither to make room nor as idle.
	activeUses int
	lastUsed   tiller.Millis
	// element is the connection's element in connTable.lru; nil if it is not in the table.
	element *list.Element
}

// connTable holds at most max open connections. It is safe for concurrent use.
type connTable struct {
	max int

	mu        sync.Mutex
	byAddress map[string]*peerConn
	// lru lists the connections, the most recently used one first.
	lru *list.List
}

func newConnTable(limit int) *connTable {
	return &connTable{max: limit, byAddress: map[string]*peerConn{}, lru: list.New()}
}

// acquire returns an open connection to an address, in use until release is called, or nil if there is none.
func (t *connTable) acquire(address string, now tiller.Millis) *peerConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.byAddress[address]
	if c == nil || c.conn.Context().Err() != nil {
		return nil
	}
	t.markUsed(c, now)
	return c
}

// retain marks a connection as in use until release is called.
func (t *connTable) retain(c *peerConn, now tiller.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markUsed(c, now)
}

func (t *connTable) markUsed(c *peerConn, now tiller.Millis) {
	c.activeUses++
	c.lastUsed = max(c.lastUsed, now)
	if c.element != nil {
		t.lru.MoveToFront(c.element)
	}
}

// release ends one use of a connection.
func (t *connTable) release(c *peerConn, now tiller.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.activeUses--
	c.lastUsed = max(c.lastUsed, now)
}

// add adds a connection to the table, and returns its peerConn and the number of connections that it closed
// to make room. The peerConn is nil when the table is full and all connections in it are in use.
func (t *connTable) add(conn *quic.Conn, now tiller.Millis) (*peerConn, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	evicted := 0
	for e := t.lru.Back(); e != nil && t.lru.Len() >= t.max; {
		c := e.Value.(*peerConn)
		e = e.Prev()
		if c.activeUses == 0 {
			t.detach(c)
			_ = c.conn.CloseWithError(codeEvicted, "other connections were used later")
			evicted++
		}
	}
	if t.lru.Len() >= t.max {
		return nil, evicted
	}
	c := &peerConn{conn: conn, address: conn.RemoteAddr().String(), lastUsed: now}
	c.element = t.lru.PushFront(c)
	t.byAddress[c.address] = c
	return c, evicted
}

// remove removes a connection that has ended from the table.
func (t *connTable) remove(c *peerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detach(c)
}

func (t *connTable) detach(c *peerConn) {
	if c.element == nil {
		return
	}
	t.lru.Remove(c.element)
	c.element = nil
	if t.byAddress[c.address] == c {
		delete(t.byAddress, c.address)
	}
}

// closeUnused closes the connections that are not in use and were last used before the given time.
func (t *connTable) closeUnused(before tiller.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for e := t.lru.Back(); e != nil; {
		c := e.Value.(*peerConn)
		e = e.Prev()
		if c.activeUses == 0 && c.lastUsed < before {
			t.detach(c)
			_ = c.conn.CloseWithError(codeIdle, "unused")
		}
	}
}

func (t *connTable) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for e := t.lru.Front(); e != nil; e = e.Next() {
		_ = e.Value.(*peerConn).conn.CloseWithError(codeClosing, "daemon stops")
	}
}

func (t *connTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lru.Len()
}

// openStreamTo calls open to open a stream to the daemon that holds a seat, and returns the connection, which
// is in use until release is called. The connection that it found may have just ended, so it retries once
// when open fails; nothing has been sent by then.
func (m *Messenger) openStreamTo(ctx context.Context, to int, open func(*quic.Conn) error) (*peerConn, error) {
	address, ok := m.cfg.AddressOf(to)
	if !ok {
		return nil, errors.Errorf("no address known for seat %d", to)
	}
	var lastErr error
	for range 2 {
		c, err := m.connect(ctx, address)
		if err != nil {
			return nil, err
		}
		if lastErr = open(c.conn); lastErr == nil {
			return c, nil
		}
		m.conns.release(c, m.cfg.Clock.Now())
	}
	return nil, errors.Wrap(lastErr, "open stream")
}

// connect returns a connection to an address, which is in use until release is called. It opens a connection
// if there is none; concurrent callers share the new connection.
func (m *Messenger) connect(ctx context.Context, address string) (*peerConn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve peer address %q", address)
	}
	key := udp.String()
	if c := m.conns.acquire(key, m.cfg.Clock.Now()); c != nil {
		return c, nil
	}
	dialResult := m.dials.DoChan(key, func() (any, error) { return nil, m.dial(udp) })
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case result := <-dialResult:
		if result.Err != nil {
			return nil, result.Err
		}
	}
	if c := m.conns.acquire(key, m.cfg.Clock.Now()); c != nil {
		return c, nil
	}
	return nil, errors.Errorf("connection to %s ended at once after it was opened", key)
}

// dial opens a connection. It does not use the context of the caller that started it, because other callers
// may wait for the same connection.
func (m *Messenger) dial(udp *net.UDPAddr) error {
	ctx, cancel := context.WithTimeout(m.ctx, DialMillis.Duration())
	defer cancel()
	m.count(countDialled, 1)
	conn, err := m.transport.Dial(ctx, udp, m.cfg.Keys.handshakeConfig(), quicConfig())
	if err != nil {
		m.count(countDialFailed, 1)
		return errors.Wrap(err, "open connection")
	}
	return m.register(conn)
}

// register adds a connection to the table and serves it. If the table is full or the Messenger is closed,
// it closes the connection and returns an error.
func (m *Messenger) register(conn *quic.Conn) error {
	c, evicted := m.conns.add(conn, m.cfg.Clock.Now())
	m.count(countEvicted, evicted)
	if c != nil && m.spawn(func() { m.serve(c) }) {
		return nil
	}
	if c != nil {
		m.conns.remove(c)
	}
	m.count(countRefused, 1)
	_ = conn.CloseWithError(codeTooMany, "too many connections")
	return errTooManyConnections
}
