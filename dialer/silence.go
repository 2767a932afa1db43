package dialer

import (
	"context"

	tiller "github.com/carawaytiller/carawaytiller"
)

// silentAfter returns how long a connection with requests outstanding may carry no bytes.
func (p *pool) silentAfter() tiller.Millis {
	return max(p.d.cfg.SilentMillis, silentLatencyFactor*p.latency.p99())
}

// check looks at a connection when its timer fires. After half of the allowed time without bytes it
// asks for the upstream's health on the same connection: on a live HTTP/2 connection the answer
// overtakes a slow request, so that only a dead connection stays without bytes. The other half begins
// when it asks, because a timer that fires late, after a pause of this process, proves no silence.
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

// checkIdle closes a connection that has had no attempt for idleMillis. The lock is held.
func (p *pool) closeIfIdle(c *conn) {
	idle := p.now() - c.lastAttemptAt
	if idle < idleTimeoutMillis {
		c.timer.Reset((idleTimeoutMillis - idle).Duration())
		return
	}
	p.removeLocked(c)
	p.d.spawn(func() { c.cc.Close() })
}

// ask asks for the upstream's health on c. Over HTTP/1.1, where a request is in the way, it only takes
// note of the time. The lock is held.
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
		// Only the bytes of the answer count; check looks at them.
		_ = c.checkHealth(ctx)
	})
}

// examine finds out whether a suspect connection is silent, whether the upstream is down, or neither.
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

// probe opens a new connection and asks for the upstream's health over it. Where the limit leaves no
// room for one, the suspect connection has had its chance to answer and is taken to be silent.
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

// openProven opens a connection and asks for the upstream's health over it before anything else uses it.
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

// trust ends the suspicion against a connection that has carried bytes.
func (p *pool) clearSuspect(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.isSuspect = false
	if !c.isRemoved {
		c.timer.Reset((p.silentAfter() / 2).Duration())
	}
}

// discardSilent closes a silent connection. Over HTTP/1.1 a slow request looks the same, so the time
// that was waited counts as a latency; otherwise a slow upstream could never finish a request.
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

// discardDown closes a connection to an upstream that does not answer on a new one either.
func (p *pool) discardDown(c *conn) {
	p.mu.Lock()
	isLost := c.attempts > 0
	p.mu.Unlock()
	p.d.count("upstream_down", tiller.ReasonConnectionLost)
	p.d.cfg.OnRestart(p.name, isLost)
	p.discard(c, tiller.ReasonConnectionLost)
}
