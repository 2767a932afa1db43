package dialer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
)

var (
	errNotHTTP2  = errors.New("upstream does not speak HTTP/2")
	errNoPreface = errors.New("connection ended before the upstream sent any bytes")
)

// open opens a connection and determines its protocol before any search request is written. A failure
// is reported as a possible restart of the upstream, unless ctx has ended or the time has run out.
func (p *pool) open(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeoutMillis.Duration())
	defer cancel()
	c, err := p.openWithFallback(ctx)
	if err == nil {
		p.d.count("connection_opened", "")
		return c, nil
	}
	p.d.count("connect_failed", tiller.ReasonConnectFailed)
	if ctx.Err() == nil {
		p.d.cfg.OnRestart(p.name, false)
	}
	return nil, err
}

// openWithFallback tries HTTP/2 first and then HTTP/1.1, unless the upstream is known to speak HTTP/1.1
// only. An HTTP/1.1 connection opened as a fallback is verified by a health check.
func (p *pool) openWithFallback(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	isHTTP1 := p.isHTTP1
	p.mu.Unlock()
	if isHTTP1 {
		c, err := p.openHTTP1(ctx)
		if err != nil {
			p.setHTTP1(false)
		}
		return c, err
	}
	c, err := p.openHTTP2(ctx)
	if !errors.Is(err, errNotHTTP2) && !errors.Is(err, errNoPreface) {
		return c, err
	}
	c, fallbackErr := p.openHTTP1(ctx)
	if fallbackErr != nil {
		return nil, err
	}
	if err := p.verify(ctx, c); err != nil {
		c.cc.Close()
		return nil, err
	}
	p.setHTTP1(true)
	return c, nil
}

// openHTTP2 opens a connection with prior knowledge and waits for the server's first bytes. An HTTP/2
// server sends its SETTINGS frame unprompted, so a connection without it is not used for requests.
func (p *pool) openHTTP2(ctx context.Context) (*conn, error) {
	c, err := p.connect(ctx, p.d.http2)
	if err != nil {
		return nil, err
	}
	select {
	case <-c.tracked.firstRead:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		err = c.tracked.prefaceError()
	}
	if err != nil {
		c.cc.Close()
		return nil, err
	}
	return c, nil
}

// openHTTP1 opens a connection. It waits for no bytes, because an HTTP/1.1 server sends none before
// the first request.
func (p *pool) openHTTP1(ctx context.Context) (*conn, error) {
	c, err := p.connect(ctx, p.d.http1)
	if err != nil {
		return nil, err
	}
	c.isHTTP1 = true
	return c, nil
}

// verify checks the upstream's health over a connection that is not yet in the pool.
func (p *pool) verify(ctx context.Context, c *conn) error {
	if err := c.cc.Reserve(); err != nil {
		return err
	}
	return c.checkHealth(ctx)
}

// connect opens a TCP connection and creates a ClientConn of transport on it.
func (p *pool) connect(ctx context.Context, transport *http.Transport) (*conn, error) {
	p.mu.Lock()
	address := p.address
	p.mu.Unlock()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{pool: p, bytesAtCheck: -1, lastAttemptAt: p.now()}
	c.timer = time.AfterFunc(time.Hour, func() { p.checkLiveness(c) })
	c.timer.Stop()
	c.tracked = newTrackedConn(raw, p.d.cfg.Clock, func() { p.handleLoss(c) })
	c.cc, err = transport.NewClientConn(context.WithValue(ctx, trackedConnKey{}, c.tracked), "http", address)
	if err != nil {
		c.tracked.Close()
		return nil, err
	}
	c.client, err = upstream.NewClient("http://"+address, upstream.WithClient(c))
	if err != nil {
		c.cc.Close()
		return nil, err
	}
	return c, nil
}

func (p *pool) setHTTP1(isHTTP1 bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isHTTP1 = isHTTP1
}

// prefaceError returns an error if the server sent an HTTP/1 response or no bytes. It must be called
// after firstRead is closed.
func (t *trackedConn) prefaceError() error {
	switch {
	case t.isHTTP1:
		return errNotHTTP2
	case t.hasEndedEmpty:
		return errNoPreface
	}
	return nil
}
