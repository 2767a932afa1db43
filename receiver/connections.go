package receiver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Connections keeps track of the connections of a server. Its methods may be called concurrently.
type Connections struct {
	clock tiller.Clock
	mu    sync.Mutex
	// idleSince holds the open connections; the value is 0 while a request is being served.
	idleSince map[net.Conn]tiller.Millis
}

// NewConnections returns an empty Connections.
func NewConnections(clock tiller.Clock) *Connections {
	return &Connections{clock: clock, idleSince: make(map[net.Conn]tiller.Millis)}
}

// Track is the ConnState function of a server.
func (c *Connections) Track(conn net.Conn, state http.ConnState) {
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
			// The server reports the end through Track.
			_ = conn.Close()
		}
	}
}

type firstRequestKey struct{}

// ConnContext is the ConnContext function of a server: it lets the first request of a connection be told
// from later ones.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, firstRequestKey{}, new(atomic.Bool))
}

// isFirst says whether a request is the first on its connection.
func isFirst(ctx context.Context) bool {
	used, ok := ctx.Value(firstRequestKey{}).(*atomic.Bool)
	return ok && !used.Swap(true)
}
