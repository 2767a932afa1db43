package dialer

import (
	"context"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
)

// pollLoad polls the upstream's load at most once a second until the pool or the dialer is closed. It
// skips a poll when no open connection is usable, and never opens one, because a load report is only a
// hint. For the same reason a failed poll is only counted.
func (p *pool) pollLoad() {
	for {
		select {
		case <-time.After(p.pollInterval().Duration()):
		case <-p.d.ctx.Done():
			return
		}
		p.mu.Lock()
		isClosed := p.isClosed
		c := p.reserve(false, false)
		p.mu.Unlock()
		if isClosed {
			return
		}
		if c != nil {
			p.fetchLoad(c)
		}
	}
}

func (p *pool) pollInterval() tiller.Millis {
	jitter := p.d.cfg.Random() % uint64(loadPollJitterMillis)
	return loadPollMillis + tiller.Millis(jitter)
}

func (p *pool) fetchLoad(c *conn) {
	defer p.finishRequest(c, false)
	ctx, cancel := context.WithTimeout(p.d.ctx, loadPollMillis.Duration())
	defer cancel()
	ctx, e := newUnleasedExchange(ctx, c)
	defer e.release()
	load, err := c.client.Load(ctx)
	if err != nil {
		p.d.count("load_poll_failed", "")
		return
	}
	p.d.cfg.OnLoadReport(p.name, load.InFlight, load.Draining)
}
