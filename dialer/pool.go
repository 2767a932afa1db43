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
	// limit is the maximum number of connections, open and being opened.
	limit int
	conns []*conn
	// openings counts the connections being opened; opening is done when the latest of them has been
	// opened or has failed.
	openings int
	opening  *signal
	// freed fires when a connection may have become available.
	freed *signal
	// isHTTP1 means that the upstream speaks only HTTP/1.1. It is set when a fallback to HTTP/1.1 succeeds
	// and cleared when opening an HTTP/1.1 connection fails.
	isHTTP1 bool
	// incarnation is the greatest incarnation that the upstream reported; 0 before the first.
	incarnation int64
	isPolling   bool
	isClosed    bool
}

// signal is a one-time event that several goroutines may wait for. err is set before done is closed.
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

// apply sets the limit and the address. If the address changes, the existing connections are retired.
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

// acquire returns a connection with one attempt reserved and counted. It opens a connection if needed,
// and waits while the limit is reached until ctx ends. When it fails, no byte of the request was written.
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

// tryAcquire returns a connection, or the signal to wait for before the next call.
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

// reserve reserves one request on the best open connection and returns the connection, or nil if none
// is usable. The mutex must be held.
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

// makeRoom reports whether the limit allows another connection. At the limit it first removes and closes
// a connection that has ended or has no outstanding request, if there is one. The mutex must be held.
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

// startOpening opens a connection by calling open on another goroutine, and returns the signal for its
// end. The mutex must be held.
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

// add adds a connection to the pool. It returns false when the pool is closed or the connection has
// already ended. The mutex must be held.
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

// finishRequest records the end of a request, and closes the connection if it is retired or has ended.
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

// handleLoss handles a connection that the peer or the network has ended. It returns before the
// Transport fails the attempts on the connection.
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

// removeLocked removes c from the pool and reports whether it was in it. The mutex must be held.
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

// retire closes the pool to new connections, and closes each existing one when it has no outstanding request.
func (p *pool) retire() {
	p.mu.Lock()
	p.isClosed = true
	p.mu.Unlock()
	p.retireAll()
	p.broadcast()
}

// retireAll closes each present connection as soon as it has no outstanding request.
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

// close closes every connection immediately.
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

// broadcast wakes the goroutines that wait in acquire for a connection.
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

// recordIncarnation records an incarnation of the upstream and reports a restart when it has increased.
func (p *pool) recordIncarnation(incarnation int64) {
	p.mu.Lock()
	isNew := p.incarnation != 0 && incarnation > p.incarnation
	p.incarnation = max(p.incarnation, incarnation)
	p.mu.Unlock()
	if isNew {
		p.d.cfg.OnRestart(p.name, false)
	}
}
