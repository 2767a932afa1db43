package receiver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/accountant"
)

// Connections tracks the open connections of an http.Server. Its methods may be called concurrently.
type Connections struct {
	clock tiller.Clock
	mu    sync.Mutex
	// idleSince holds the start of the idle time of each open connection, or 0 while it serves a request.
	idleSince map[net.Conn]tiller.Millis
}

// NewConnections returns an empty Connections.
func NewConnections(clock tiller.Clock) *Connections {
	return &Connections{clock: clock, idleSince: make(map[net.Conn]tiller.Millis)}
}

// Track is the ConnState hook of the http.Server.
func (c *Connections) Track(conn net.Conn, state http.ConnState) {
	accountant.StateChanged(conn, state)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.idleSince[conn] = c.clock.Now()
	case http.StateActive:
		c.idleSince[conn] = 0
	case http.StateClosed, http.StateHijacked:
		delete(c.idleSince, conn)
	}
}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleSince)
}

// CloseIdle closes connections that have been idle for longer than limit.
func (c *Connections) CloseIdle(limit tiller.Millis) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if since > 0 && now-since > limit {
			// The server removes the connection through Track.
			_ = conn.Close()
		}
	}
}

// firstRequestKey is the context key of the connectionInfo of a request.
type firstRequestKey struct{}

// ConnContext is the ConnContext hook of an http.Server. It adds what isFirst, isRebalanced and completeMessage require.
func (c *Connections) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, firstRequestKey{}, &connectionInfo{conn: conn, opened: c.clock.Now()})
}

// connectionInfo is what is known of a client's connection.
type connectionInfo struct {
	conn   net.Conn
	opened tiller.Millis
	used   atomic.Bool
}

// completeMessage reports to the account of the connection that the request was received as a whole.
func completeMessage(ctx context.Context) {
	if c, ok := ctx.Value(firstRequestKey{}).(*connectionInfo); ok {
		accountant.Complete(c.conn)
	}
}

// isFirst reports whether a request is the first on its connection. It must be called once for each request.
func isFirst(ctx context.Context) bool {
	c, ok := ctx.Value(firstRequestKey{}).(*connectionInfo)
	return ok && !c.used.Swap(true)
}
