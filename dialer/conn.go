package dialer

import (
	"context"
	"net/http"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
)

// conn is one connection to an upstream. Fields below the comment line are guarded by the pool's lock.
type conn struct {
	pool    *pool
	meter   *meter
	cc      *http.ClientConn
	client  *upstream.Client
	isHTTP1 bool

	// outstanding counts requests of every kind, attempts only those that run a query.
	outstanding int
	attempts    int
	// busySince is the time since which outstanding has not been 0.
	busySince tiller.Millis
	attemptAt tiller.Millis
	// watch fires when the connection may be silent or idle for too long.
	watch *time.Timer
	// askedMark is the number of bytes read when the connection was last asked for a sign of life, at askedAt;
	// -1 before the first time.
	askedMark int64
	askedAt   tiller.Millis
	// isSuspect says that the connection is examined and gets no new requests.
	isSuspect bool
	isRetired bool
	isRemoved bool
	// cause says why this side closed the connection; empty while it has not.
	cause tiller.Reason
}

// Do sends a request of the generated client. The transfer in its context says on whose behalf.
func (c *conn) Do(r *http.Request) (*http.Response, error) {
	return r.Context().Value(transferKey{}).(*transfer).do(r)
}

// checkHealth asks the upstream for its health over this connection. Any answer proves the connection.
func (c *conn) checkHealth(ctx context.Context) error {
	ctx, t := newCheck(ctx, c)
	defer t.end()
	health, err := c.client.Health(ctx)
	if err != nil {
		return err
	}
	c.pool.observe(health.Incarnation)
	return nil
}

// begin accounts a request. The pool's lock is held.
func (c *conn) begin(isAttempt bool) {
	now := c.pool.now()
	if c.outstanding == 0 {
		c.busySince = now
		c.watch.Reset((c.pool.silentAfter() / 2).Duration())
	}
	c.outstanding++
	if isAttempt {
		c.attempts++
		c.attemptAt = now
	}
}

// end accounts the end of a request and reports whether the connection is to be closed now.
// The pool's lock is held.
func (c *conn) end(isAttempt bool) bool {
	c.outstanding--
	if isAttempt {
		c.attempts--
	}
	if c.outstanding > 0 {
		return false
	}
	if !c.isRemoved {
		c.watch.Reset(idleMillis.Duration())
	}
	return c.isRetired || c.cc.Err() != nil
}

// isUsable reports whether the connection may get a request. The pool's lock is held.
func (c *conn) isUsable(fresh bool) bool {
	if c.isRetired || c.isSuspect || c.cc.Available() == 0 {
		return false
	}
	return !fresh || c.pool.now()-c.meter.readAt() <= freshMillis
}

// isBetter reports whether c should get a request rather than other. The pool's lock is held.
func (c *conn) isBetter(other *conn) bool {
	if other == nil || c.outstanding != other.outstanding {
		return other == nil || c.outstanding < other.outstanding
	}
	return c.meter.readAt() > other.meter.readAt()
}
