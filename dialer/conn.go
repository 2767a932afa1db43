package dialer

import (
	"context"
	"net/http"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
)

// conn is one connection to an upstream. The fields from outstanding on are guarded by the pool's mutex.
type conn struct {
	pool    *pool
	tracked *trackedConn
	cc      *http.ClientConn
	client  *upstream.Client
	isHTTP1 bool

	// outstanding counts the running requests of every kind, attempts only those that run a query.
	outstanding int
	attempts    int
	// busySince is the time at which outstanding last rose from 0.
	busySince     tiller.Millis
	lastAttemptAt tiller.Millis
	// timer calls checkLiveness when the connection may have been silent or idle for too long.
	timer *time.Timer
	// bytesAtCheck is the number of bytes that had been received when the last health check started, at
	// checkedAt; -1 before the first one.
	bytesAtCheck int64
	checkedAt    tiller.Millis
	// isSuspect means that the connection was without received bytes for too long. It gets no new
	// requests while examineSuspect decides whether to close it.
	isSuspect bool
	// isRetired means that the connection gets no new requests and is closed when none is outstanding.
	isRetired bool
	// isRemoved means that the connection is no longer in its pool.
	isRemoved bool
	// closeReason is the reason for which discard closed the connection; otherwise empty.
	closeReason tiller.Reason
}

// Do sends a request of the generated client through the exchange in the request's context.
func (c *conn) Do(r *http.Request) (*http.Response, error) {
	return r.Context().Value(exchangeKey{}).(*exchange).do(r)
}

// checkHealth requests the upstream's health over this connection and records the incarnation in the
// response. It returns nil for an unhealthy upstream too, because a response shows that the connection works.
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

// beginRequest records the start of a request. The pool's mutex must be held.
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

// endRequest records the end of a request and reports whether the connection must now be closed.
// The pool's mutex must be held.
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

// isUsable reports whether the connection can take a request. If fresh is set, it must have been opened or
// have received bytes within the last freshAgeMillis. The pool's mutex must be held.
func (c *conn) isUsable(fresh bool) bool {
	if c.isRetired || c.isSuspect || c.cc.Available() == 0 {
		return false
	}
	return !fresh || c.pool.now()-c.tracked.lastReadAt() <= freshAgeMillis
}

// isBetter reports whether c is preferred to other for a request: it has fewer outstanding requests, or
// as many and received bytes later. other may be nil. The pool's mutex must be held.
func (c *conn) isBetter(other *conn) bool {
	if other == nil || c.outstanding != other.outstanding {
		return other == nil || c.outstanding < other.outstanding
	}
	return c.tracked.lastReadAt() > other.tracked.lastReadAt()
}
