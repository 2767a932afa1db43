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

// Codes with which a connection is closed.
const (
	codeClosing quic.ApplicationErrorCode = iota
	codeIdle
	codeEvicted
	codeTooMany
)

var errTooManyConnections = errors.New("too many connections are in use")

// link is an open connection to a peer. The process that it leads to is known by its
// address, so a connection serves both directions whoever opened it.
type peerConn struct {
	conn    *quic.Conn
	address string
	// busy counts the messages that are under way; a busy link is not closed to make room.
	activeUses int
	lastUsed   tiller.Millis
	// place is the link's element in the order of use.
	element *list.Element
}

// linkTable holds the open connections, at most max.
type connTable struct {
	max int

	mu        sync.Mutex
	byAddress map[string]*peerConn
	// order lists the links, the one used last in front.
	lru *list.List
}

func newConnTable(limit int) *connTable {
	return &connTable{max: limit, byAddress: map[string]*peerConn{}, lru: list.New()}
}

// take returns a live link to an address for use until done is called, or nil.
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

// begin marks a link as in use until done is called.
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

// done ends a use of a link.
func (t *connTable) release(c *peerConn, now tiller.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.activeUses--
	c.lastUsed = max(c.lastUsed, now)
}

// add takes a new connection in and returns its link and the connections that it closed to make room.
// The link is nil when all others are busy.
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

// remove forgets a link whose connection has ended.
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

// closeUnused closes the links that were last used before a time.
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

// open opens a stream to a seat and returns its link, which is in use until done is called. Nothing
// has gone out when it fails, so it tries a second time when the connection that it found had just ended.
func (m *Messenger) openStreamTo(ctx context.Context, to int, open func(*quic.Conn) error) (*peerConn, error) {
	address, ok := m.cfg.AddressOf(to)
	if !ok {
		return nil, errors.Errorf("no address of seat %d", to)
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

// connect returns a link to an address for use until done is called. It opens a connection when there is
// none; callers that ask at the same time share it.
func (m *Messenger) connect(ctx context.Context, address string) (*peerConn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
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
	return nil, errors.New("the connection ended at once")
}

// dial opens a connection. It does not end with the caller that asked first, because others may wait for it.
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

// register takes a connection in and serves it, or closes it when there is no room.
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
