package dialer

import (
	"context"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
)

// pollLoad asks an upstream for its load, at most once a second, while a connection is open.
// The report is a hint: a failed poll only counts, and a poll opens no connection.
func (p *pool) pollLoad() {
	for {
		select {
		case <-time.After(p.pollInterval().Duration()):
		case <-p.d.base.Done():
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
			p.reportLoad(c)
		}
	}
}

func (p *pool) pollInterval() tiller.Millis {
	jitter := p.d.cfg.Random() % uint64(loadJitterMillis)
	return loadMillis + tiller.Millis(jitter)
}

func (p *pool) reportLoad(c *conn) {
	defer p.finish(c, false)
	ctx, cancel := context.WithTimeout(p.d.base, loadMillis.Duration())
	defer cancel()
	ctx, t := newCheck(ctx, c)
	defer t.end()
	load, err := c.client.Load(ctx)
	if err != nil {
		p.d.count("load_poll_failed", "")
		return
	}
	p.d.cfg.OnLoadReport(p.name, load.InFlight, load.Draining)
}
