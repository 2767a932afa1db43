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
type link struct {
	conn    *quic.Conn
	address string
	// busy counts the messages that are under way; a busy link is not closed to make room.
	busy int
	used tiller.Millis
	// place is the link's element in the order of use.
	place *list.Element
}

// linkTable holds the open connections, at most max.
type linkTable struct {
	max int

	mu        sync.Mutex
	byAddress map[string]*link
	// order lists the links, the one used last in front.
	order *list.List
}

func newLinkTable(limit int) *linkTable {
	return &linkTable{max: limit, byAddress: map[string]*link{}, order: list.New()}
}

// take returns a live link to an address for use until done is called, or nil.
func (t *linkTable) take(address string, now tiller.Millis) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.byAddress[address]
	if l == nil || l.conn.Context().Err() != nil {
		return nil
	}
	t.use(l, now)
	return l
}

// begin marks a link as in use until done is called.
func (t *linkTable) begin(l *link, now tiller.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.use(l, now)
}

func (t *linkTable) use(l *link, now tiller.Millis) {
	l.busy++
	l.used = max(l.used, now)
	if l.place != nil {
		t.order.MoveToFront(l.place)
	}
}

// done ends a use of a link.
func (t *linkTable) done(l *link, now tiller.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.busy--
	l.used = max(l.used, now)
}

// add takes a new connection in and returns its link and the connections that it closed to make room.
// The link is nil when all others are busy.
func (t *linkTable) add(conn *quic.Conn, now tiller.Millis) (*link, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	evicted := 0
	for e := t.order.Back(); e != nil && t.order.Len() >= t.max; {
		l := e.Value.(*link)
		e = e.Prev()
		if l.busy == 0 {
			t.drop(l)
			_ = l.conn.CloseWithError(codeEvicted, "other connections were used later")
			evicted++
		}
	}
	if t.order.Len() >= t.max {
		return nil, evicted
	}
	l := &link{conn: conn, address: conn.RemoteAddr().String(), used: now}
	l.place = t.order.PushFront(l)
	t.byAddress[l.address] = l
	return l, evicted
}

// remove forgets a link whose connection has ended.
func (t *linkTable) remove(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(l)
}

func (t *linkTable) drop(l *link) {
	if l.place == nil {
		return
	}
	t.order.Remove(l.place)
	l.place = nil
	if t.byAddress[l.address] == l {
		delete(t.byAddress, l.address)
	}
}

// closeUnused closes the links that were last used before a time.
func (t *linkTable) closeUnused(before tiller.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for e := t.order.Back(); e != nil; {
		l := e.Value.(*link)
		e = e.Prev()
		if l.busy == 0 && l.used < before {
			t.drop(l)
			_ = l.conn.CloseWithError(codeIdle, "unused")
		}
	}
}

func (t *linkTable) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for e := t.order.Front(); e != nil; e = e.Next() {
		_ = e.Value.(*link).conn.CloseWithError(codeClosing, "daemon stops")
	}
}

func (t *linkTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.order.Len()
}

// open opens a stream to a seat and returns its link, which is in use until done is called. Nothing
// has gone out when it fails, so it tries a second time when the connection that it found had just ended.
func (m *Messenger) open(ctx context.Context, to int, open func(*quic.Conn) error) (*link, error) {
	address, ok := m.cfg.AddressOf(to)
	if !ok {
		return nil, errors.Errorf("no address of seat %d", to)
	}
	var last error
	for range 2 {
		l, err := m.connect(ctx, address)
		if err != nil {
			return nil, err
		}
		if last = open(l.conn); last == nil {
			return l, nil
		}
		m.links.done(l, m.cfg.Clock.Now())
	}
	return nil, errors.Wrap(last, "open stream")
}

// connect returns a link to an address for use until done is called. It opens a connection when there is
// none; callers that ask at the same time share it.
func (m *Messenger) connect(ctx context.Context, address string) (*link, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	key := udp.String()
	if l := m.links.take(key, m.cfg.Clock.Now()); l != nil {
		return l, nil
	}
	dialled := m.dials.DoChan(key, func() (any, error) { return nil, m.dial(udp) })
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case result := <-dialled:
		if result.Err != nil {
			return nil, result.Err
		}
	}
	if l := m.links.take(key, m.cfg.Clock.Now()); l != nil {
		return l, nil
	}
	return nil, errors.New("the connection ended at once")
}

// dial opens a connection. It does not end with the caller that asked first, because others may wait for it.
func (m *Messenger) dial(udp *net.UDPAddr) error {
	ctx, cancel := context.WithTimeout(m.ctx, DialMillis.Duration())
	defer cancel()
	m.count(countDialled, 1)
	conn, err := m.transport.Dial(ctx, udp, m.cfg.Keys.config(), quicConfig())
	if err != nil {
		m.count(countDialFailed, 1)
		return errors.Wrap(err, "open connection")
	}
	return m.register(conn)
}

// register takes a connection in and serves it, or closes it when there is no room.
func (m *Messenger) register(conn *quic.Conn) error {
	l, evicted := m.links.add(conn, m.cfg.Clock.Now())
	m.count(countEvicted, evicted)
	if l != nil && m.spawn(func() { m.serve(l) }) {
		return nil
	}
	if l != nil {
		m.links.remove(l)
	}
	m.count(countRefused, 1)
	_ = conn.CloseWithError(codeTooMany, "too many connections")
	return errTooManyConnections
}
