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
	errNoPreface = errors.New("upstream ended the connection before it sent a byte")
)

// open opens a connection and finds out its protocol before any request is written. A failure other
// than a timeout is a sign that the upstream restarts.
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

// openEither tries HTTP/2 first, unless the upstream is known to speak HTTP/1.1 only.
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

// openHTTP2 opens a connection with prior knowledge and waits for the server's first bytes. A server
// sends its settings without being asked, so a connection without them is not used for requests.
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

// openHTTP1 opens a connection; an HTTP/1.1 server sends nothing until it is asked.
func (p *pool) openHTTP1(ctx context.Context) (*conn, error) {
	c, err := p.connect(ctx, p.d.http1)
	if err != nil {
		return nil, err
	}
	c.isHTTP1 = true
	return c, nil
}

// prove asks for the upstream's health over a connection outside the pool.
func (p *pool) verify(ctx context.Context, c *conn) error {
	if err := c.cc.Reserve(); err != nil {
		return err
	}
	return c.checkHealth(ctx)
}

// connect makes a TCP connection and hands it to transport.
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

// greetingError says what is wrong with the first bytes of an HTTP/2 server. greeted is closed.
func (t *trackedConn) prefaceError() error {
	switch {
	case t.isHTTP1:
		return errNotHTTP2
	case t.hasEndedEmpty:
		return errNoPreface
	}
	return nil
}
