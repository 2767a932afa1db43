package dialer

import (
	"context"
	"errors"
	"sync"

	tiller "github.com/carawaytiller/carawaytiller"
)

var errClosed = errors.New("dialer is closed")

// pool holds the connections to one upstream.
type pool struct {
	d       *Dialer
	name    string
	latency *latency

	mu      sync.Mutex
	address string
	// limit is the greatest number of connections, open and opening.
	limit int
	conns []*conn
	// openings counts connections being opened; opening is the latest of them.
	openings int
	opening  *signal
	// freed fires when a connection may have become available.
	freed *signal
	// isHTTP1 says that the upstream last proved to speak HTTP/1.1 only.
	isHTTP1     bool
	incarnation int64
	isPolling   bool
	isClosed    bool
}

// signal is an event that many may wait for. err is set before done is closed.
type signal struct {
	done chan struct{}
	err  error
}

func newSignal() *signal {
	return &signal{done: make(chan struct{})}
}

func newPool(d *Dialer, name, address string) *pool {
	return &pool{
		d:       d,
		name:    name,
		address: address,
		limit:   defaultConnections,
		latency: newLatency(),
		freed:   newSignal(),
	}
}

func (p *pool) now() tiller.Millis {
	return p.d.cfg.Clock.Now()
}

// apply sets limit and address. With a new address the connections to the old one are retired.
func (p *pool) apply(t Target) {
	p.mu.Lock()
	p.limit = max(t.Connections, 1)
	isMoved := p.address != t.Address
	p.address = t.Address
	p.mu.Unlock()
	if isMoved {
		p.retireAll()
	}
}

// acquire returns a connection with one request reserved and accounted. It opens one where needed
// and waits while the limit is reached. The request has not been written when it fails.
func (p *pool) acquire(ctx context.Context, fresh bool) (*conn, error) {
	for {
		c, wait, err := p.tryAcquire(fresh)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-wait.done:
			if wait.err != nil {
				return nil, wait.err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// take returns a connection, or what to wait for before asking again.
func (p *pool) tryAcquire(fresh bool) (*conn, *signal, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return nil, nil, errClosed
	}
	if c := p.reserve(fresh, true); c != nil {
		return c, nil, nil
	}
	if p.openings > 0 && !p.isHTTP1 {
		return nil, p.opening, nil
	}
	if !p.makeRoom() {
		return nil, p.freed, nil
	}
	return nil, p.startOpening(p.open), nil
}

// reserve reserves one request on the best open connection. The lock is held.
func (p *pool) reserve(fresh, isAttempt bool) *conn {
	var best *conn
	for _, c := range p.conns {
		if c.isUsable(fresh) && c.isBetter(best) {
			best = c
		}
	}
	if best == nil || best.cc.Reserve() != nil {
		return nil
	}
	best.beginRequest(isAttempt)
	return best
}

// makeRoom reports whether the limit allows another connection. It drops a connection
// that is dead or has no request to get there. The lock is held.
func (p *pool) makeRoom() bool {
	if len(p.conns)+p.openings < p.limit {
		return true
	}
	for _, c := range p.conns {
		if c.cc.Err() != nil || c.outstanding == 0 {
			p.removeLocked(c)
			p.d.spawn(func() { c.cc.Close() })
			return true
		}
	}
	return false
}

// startOpening opens a connection by open on another goroutine. The lock is held.
func (p *pool) startOpening(open func(context.Context) (*conn, error)) *signal {
	s := newSignal()
	p.openings++
	p.opening = s
	isStarted := p.d.spawn(func() {
		c, err := open(p.d.ctx)
		p.finishOpening(s, c, err)
	})
	if !isStarted {
		p.openings--
		s.err = errClosed
		close(s.done)
	}
	return s
}

func (p *pool) finishOpening(s *signal, c *conn, err error) {
	p.mu.Lock()
	p.openings--
	if err == nil && !p.add(c) {
		err = errClosed
	}
	p.mu.Unlock()
	if err != nil && c != nil {
		c.cc.Close()
	}
	s.err = err
	close(s.done)
	p.broadcast()
}

// add puts an open connection into the pool, unless it is of no use any more. The lock is held.
func (p *pool) add(c *conn) bool {
	if p.isClosed || c.cc.Err() != nil || c.tracked.hasEnded.Load() {
		return false
	}
	p.conns = append(p.conns, c)
	c.timer.Reset(idleTimeoutMillis.Duration())
	if !p.isPolling {
		p.isPolling = true
		p.d.spawn(p.pollLoad)
	}
	return true
}

// finish ends the accounting of a request.
func (p *pool) finishRequest(c *conn, isAttempt bool) {
	p.mu.Lock()
	toClose := c.endRequest(isAttempt)
	if toClose {
		p.removeLocked(c)
	}
	p.mu.Unlock()
	if toClose {
		c.cc.Close()
	}
	p.broadcast()
}

// lose handles the end of a connection by the peer or the network.
// It runs before the transport fails the attempts on the connection.
func (p *pool) handleLoss(c *conn) {
	p.mu.Lock()
	isOpen := p.removeLocked(c)
	isLost := c.attempts > 0
	p.mu.Unlock()
	if !isOpen {
		return
	}
	p.d.count("connection_lost", tiller.ReasonConnectionLost)
	p.d.cfg.OnRestart(p.name, isLost)
	p.broadcast()
}

// removeLocked takes c out of the pool and reports whether it was there. The lock is held.
func (p *pool) removeLocked(c *conn) bool {
	for i, other := range p.conns {
		if other != c {
			continue
		}
		p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
		c.isRemoved = true
		c.timer.Stop()
		return true
	}
	return false
}

// discard removes and closes a connection; its attempts fail with cause.
func (p *pool) discard(c *conn, cause tiller.Reason) {
	p.mu.Lock()
	p.removeLocked(c)
	c.closeReason = cause
	p.mu.Unlock()
	c.cc.Close()
	p.broadcast()
}

// retire ends the pool: it opens no connection any more, and closes each when it has no request.
func (p *pool) retire() {
	p.mu.Lock()
	p.isClosed = true
	p.mu.Unlock()
	p.retireAll()
	p.broadcast()
}

// retireAll closes each connection as soon as it has no request.
func (p *pool) retireAll() {
	p.mu.Lock()
	var idle []*conn
	for _, c := range p.conns {
		c.isRetired = true
		if c.outstanding == 0 {
			idle = append(idle, c)
		}
	}
	for _, c := range idle {
		p.removeLocked(c)
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.cc.Close()
	}
}

// close closes every connection at once.
func (p *pool) close() {
	p.mu.Lock()
	p.isClosed = true
	conns := p.conns
	p.conns = nil
	for _, c := range conns {
		c.isRemoved = true
		c.timer.Stop()
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.cc.Close()
	}
	p.broadcast()
}

func (p *pool) broadcast() {
	p.mu.Lock()
	freed := p.freed
	p.freed = newSignal()
	p.mu.Unlock()
	close(freed.done)
}

func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// observe takes note of an incarnation and reports a restart when it has grown.
func (p *pool) recordIncarnation(incarnation int64) {
	p.mu.Lock()
	isNew := p.incarnation != 0 && incarnation > p.incarnation
	p.incarnation = max(p.incarnation, incarnation)
	p.mu.Unlock()
	if isNew {
		p.d.cfg.OnRestart(p.name, false)
	}
}
