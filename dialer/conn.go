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
	tracked *trackedConn
	cc      *http.ClientConn
	client  *upstream.Client
	isHTTP1 bool

	// outstanding counts requests of every kind, attempts only those that run a query.
	outstanding int
	attempts    int
	// busySince is the time since which outstanding has not been 0.
	busySince     tiller.Millis
	lastAttemptAt tiller.Millis
	// watch fires when the connection may be silent or idle for too long.
	timer *time.Timer
	// askedMark is the number of bytes read when the connection was last asked for a sign of life, at askedAt;
	// -1 before the first time.
	bytesAtCheck int64
	checkedAt    tiller.Millis
	// isSuspect says that the connection is examined and gets no new requests.
	isSuspect bool
	isRetired bool
	isRemoved bool
	// cause says why this side closed the connection; empty while it has not.
	closeReason tiller.Reason
}

// Do sends a request of the generated client. The transfer in its context says on whose behalf.
func (c *conn) Do(r *http.Request) (*http.Response, error) {
	return r.Context().Value(exchangeKey{}).(*exchange).do(r)
}

// checkHealth asks the upstream for its health over this connection. Any answer proves the connection.
func (c *conn) checkHealth(ctx context.Context) error {
	ctx, e := newUnleasedExchange(ctx, c)
	defer e.release()
	health, err := c.client.Health(ctx)
	if err != nil {
		return err
	}
	c.pool.recordIncarnation(health.Incarnation)
	return nil
}

// begin accounts a request. The pool's lock is held.
func (c *conn) beginRequest(isAttempt bool) {
	now := c.pool.now()
	if c.outstanding == 0 {
		c.busySince = now
		c.timer.Reset((c.pool.silentAfter() / 2).Duration())
	}
	c.outstanding++
	if isAttempt {
		c.attempts++
		c.lastAttemptAt = now
	}
}

// end accounts the end of a request and reports whether the connection is to be closed now.
// The pool's lock is held.
func (c *conn) endRequest(isAttempt bool) bool {
	c.outstanding--
	if isAttempt {
		c.attempts--
	}
	if c.outstanding > 0 {
		return false
	}
	if !c.isRemoved {
		c.timer.Reset(idleTimeoutMillis.Duration())
	}
	return c.isRetired || c.cc.Err() != nil
}

// isUsable reports whether the connection may get a request. The pool's lock is held.
func (c *conn) isUsable(fresh bool) bool {
	if c.isRetired || c.isSuspect || c.cc.Available() == 0 {
		return false
	}
	return !fresh || c.pool.now()-c.tracked.lastReadAt() <= freshAgeMillis
}

// isBetter reports whether c should get a request rather than other. The pool's lock is held.
func (c *conn) isBetter(other *conn) bool {
	if other == nil || c.outstanding != other.outstanding {
		return other == nil || c.outstanding < other.outstanding
	}
	return c.tracked.lastReadAt() > other.tracked.lastReadAt()
}
