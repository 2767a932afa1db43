package dialer

import (
	"context"

	tiller "github.com/carawaytiller/carawaytiller"
)

// silentAfter returns how long a connection with requests outstanding may carry no bytes.
func (p *pool) silentAfter() tiller.Millis {
	return max(p.d.cfg.SilentMillis, silentFactor*p.latency.p99())
}

// check looks at a connection when its timer fires. After half of the allowed time without bytes it
// asks for the upstream's health on the same connection: on a live HTTP/2 connection the answer
// overtakes a slow request, so that only a dead connection stays without bytes. The other half begins
// when it asks, because a timer that fires late, after a pause of this process, proves no silence.
func (p *pool) check(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.isRemoved || c.isSuspect {
		return
	}
	if c.outstanding == 0 {
		p.checkIdle(c)
		return
	}
	half := p.silentAfter() / 2
	quiet := p.now() - max(c.busySince, c.meter.readAt())
	asked := p.now() - c.askedAt
	switch {
	case quiet < half:
		c.watch.Reset((half - quiet).Duration())
	case c.askedMark != c.meter.received():
		p.ask(c, half)
		c.watch.Reset(half.Duration())
	case asked < half:
		c.watch.Reset((half - asked).Duration())
	default:
		c.isSuspect = true
		p.d.goTask(func() { p.examine(c) })
	}
}

// checkIdle closes a connection that has had no attempt for idleMillis. The lock is held.
func (p *pool) checkIdle(c *conn) {
	idle := p.now() - c.attemptAt
	if idle < idleMillis {
		c.watch.Reset((idleMillis - idle).Duration())
		return
	}
	p.removeLocked(c)
	p.d.goTask(func() { c.cc.Close() })
}

// ask asks for the upstream's health on c. Over HTTP/1.1, where a request is in the way, it only takes
// note of the time. The lock is held.
func (p *pool) ask(c *conn, timeout tiller.Millis) {
	c.askedMark, c.askedAt = c.meter.received(), p.now()
	if c.isHTTP1 || c.cc.Reserve() != nil {
		return
	}
	c.begin(false)
	p.d.goTask(func() {
		defer p.finish(c, false)
		ctx, cancel := context.WithTimeout(p.d.base, timeout.Duration())
		defer cancel()
		// Only the bytes of the answer count; check looks at them.
		_ = c.checkHealth(ctx)
	})
}

// examine finds out whether a suspect connection is silent, whether the upstream is down, or neither.
func (p *pool) examine(c *conn) {
	p.d.count("connection_suspect", tiller.ReasonSilent)
	mark := c.meter.received()
	isUp := p.probe()
	if c.meter.received() > mark {
		p.trust(c)
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
func (p *pool) probe() bool {
	p.mu.Lock()
	if !p.makeRoom() {
		p.mu.Unlock()
		return true
	}
	opening := p.startOpening(p.openProven)
	p.mu.Unlock()
	<-opening.done
	return opening.err == nil
}

// openProven opens a connection and asks for the upstream's health over it before anything else uses it.
func (p *pool) openProven(ctx context.Context) (*conn, error) {
	c, err := p.open(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.silentAfter().Duration())
	defer cancel()
	if err := p.prove(ctx, c); err != nil {
		c.cc.Close()
		return nil, err
	}
	return c, nil
}

// trust ends the suspicion against a connection that has carried bytes.
func (p *pool) trust(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.isSuspect = false
	if !c.isRemoved {
		c.watch.Reset((p.silentAfter() / 2).Duration())
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
