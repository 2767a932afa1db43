package dialer

import (
	"context"

	tiller "github.com/carawaytiller/carawaytiller"
)

// silentAfter returns the time without received bytes after which a connection with outstanding
// requests is suspect.
func (p *pool) silentAfter() tiller.Millis {
	return max(p.d.cfg.SilentMillis, silentLatencyFactor*p.latency.p99())
}

// checkLiveness runs when a connection's timer fires. After half of silentAfter without received bytes
// it sends a health check on the same connection: on a live HTTP/2 connection the response does not wait
// for a slow request, so only a dead connection receives nothing. The second half is counted from
// the start of the health check, because a timer that fires late after a pause of this process does not
// show that the connection was silent.
func (p *pool) checkLiveness(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.isRemoved || c.isSuspect {
		return
	}
	if c.outstanding == 0 {
		p.closeIfIdle(c)
		return
	}
	half := p.silentAfter() / 2
	silentFor := p.now() - max(c.busySince, c.tracked.lastReadAt())
	sinceCheck := p.now() - c.checkedAt
	switch {
	case silentFor < half:
		c.timer.Reset((half - silentFor).Duration())
	case c.bytesAtCheck != c.tracked.received():
		p.startHealthCheck(c, half)
		c.timer.Reset(half.Duration())
	case sinceCheck < half:
		c.timer.Reset((half - sinceCheck).Duration())
	default:
		c.isSuspect = true
		p.d.spawn(func() { p.examineSuspect(c) })
	}
}

// closeIfIdle closes a connection that has had no attempt for idleTimeoutMillis. The mutex must be held.
func (p *pool) closeIfIdle(c *conn) {
	idle := p.now() - c.lastAttemptAt
	if idle < idleTimeoutMillis {
		c.timer.Reset((idleTimeoutMillis - idle).Duration())
		return
	}
	p.removeLocked(c)
	p.d.spawn(func() { c.cc.Close() })
}

// startHealthCheck starts a health check on c and records its time. On an HTTP/1.1 connection, which
// cannot take a second request, it only records the time. The mutex must be held.
func (p *pool) startHealthCheck(c *conn, timeout tiller.Millis) {
	c.bytesAtCheck, c.checkedAt = c.tracked.received(), p.now()
	if c.isHTTP1 || c.cc.Reserve() != nil {
		return
	}
	c.beginRequest(false)
	p.d.spawn(func() {
		defer p.finishRequest(c, false)
		ctx, cancel := context.WithTimeout(p.d.ctx, timeout.Duration())
		defer cancel()
		// The result is not needed: checkLiveness looks at the number of bytes received.
		_ = c.checkHealth(ctx)
	})
}

// examineSuspect decides what to do with a suspect connection, by a health check over a new one. If the
// suspect has received bytes meanwhile, it is kept. Otherwise it is closed: as silent when the health
// check succeeded, or as lost because the upstream is down.
func (p *pool) examineSuspect(c *conn) {
	p.d.count("connection_suspect", tiller.ReasonSilent)
	received := c.tracked.received()
	isUp := p.probeNewConnection()
	if c.tracked.received() > received {
		p.clearSuspect(c)
		return
	}
	if isUp {
		p.discardSilent(c)
		return
	}
	p.discardDown(c)
}

// probeNewConnection opens a new connection and reports whether a health check over it succeeded. If the
// limit allows no new connection it returns true, so that the suspect connection, which did not respond
// in time, is closed as silent.
func (p *pool) probeNewConnection() bool {
	p.mu.Lock()
	if !p.makeRoom() {
		p.mu.Unlock()
		return true
	}
	opening := p.startOpening(p.openVerified)
	p.mu.Unlock()
	<-opening.done
	return opening.err == nil
}

// openVerified opens a connection and checks the upstream's health over it before it is used otherwise.
func (p *pool) openVerified(ctx context.Context) (*conn, error) {
	c, err := p.open(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.silentAfter().Duration())
	defer cancel()
	if err := p.verify(ctx, c); err != nil {
		c.cc.Close()
		return nil, err
	}
	return c, nil
}

// clearSuspect marks a connection that has received bytes as usable again.
func (p *pool) clearSuspect(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.isSuspect = false
	if !c.isRemoved {
		c.timer.Reset((p.silentAfter() / 2).Duration())
	}
}

// discardSilent closes a silent connection. Over HTTP/1.1 a slow request cannot be told from a silent
// connection, so the time waited is recorded as a latency. That raises silentAfter; without it, requests
// to a slow upstream would always be cut off.
func (p *pool) discardSilent(c *conn) {
	if c.isHTTP1 {
		p.mu.Lock()
		waited := p.now() - c.busySince
		p.mu.Unlock()
		p.latency.record(waited)
	}
	p.d.count("connection_silent", tiller.ReasonSilent)
	p.discard(c, tiller.ReasonSilent)
}

// discardDown closes a connection to an upstream that does not respond on a new connection either, and
// reports a possible restart.
func (p *pool) discardDown(c *conn) {
	p.mu.Lock()
	isLost := c.attempts > 0
	p.mu.Unlock()
	p.d.count("upstream_down", tiller.ReasonConnectionLost)
	p.d.cfg.OnRestart(p.name, isLost)
	p.discard(c, tiller.ReasonConnectionLost)
}
