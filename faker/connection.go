package faker

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connection is an accepted connection whose first read can be delayed and whose traffic can be dropped.
type connection struct {
	net.Conn
	// ready is the time before which no byte is read.
	ready time.Time
	// silent discards all bytes in both directions.
	silent  atomic.Bool
	once    sync.Once
	closed  chan struct{}
	onClose func(*connection)
}

// Read reads from the peer. On a silent connection it discards all received bytes
// and returns only when the connection ends or its read deadline passes.
func (c *connection) Read(p []byte) (int, error) {
	c.awaitReady()
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write writes to the peer. On a silent connection it discards p and reports success.
func (c *connection) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and stops counting it towards the connection limit.
func (c *connection) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.onClose(c)
	})
	return c.Conn.Close()
}

// awaitReady blocks until the connection is ready or closed.
func (c *connection) awaitReady() {
	wait := time.Until(c.ready)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
}

// ConnectionCounts counts the connections of a fake.
type ConnectionCounts struct {
	// Open is the number of connections open now.
	Open int
	// Greatest is the highest number of connections open at the same time.
	Greatest int
	// Accepted is the number of connections accepted within the limit.
	Accepted int
	// Refused is the number of connections closed immediately because the connection limit was reached.
	Refused int
}

// connections tracks the open connections of a fake.
type connections struct {
	// limit is the maximum number of open connections; 0 means no limit.
	limit int
	// cost is the delay before the first byte of a connection is read.
	cost time.Duration

	mu     sync.Mutex
	open   map[*connection]struct{}
	counts ConnectionCounts
}

func newConnections(limit int, cost time.Duration) *connections {
	return &connections{limit: limit, cost: cost, open: map[*connection]struct{}{}}
}

// add wraps and tracks raw, or returns nil when the connection limit is reached.
func (s *connections) add(raw net.Conn) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit > 0 && len(s.open) >= s.limit {
		s.counts.Refused++
		return nil
	}
	c := &connection{Conn: raw, ready: time.Now().Add(s.cost), closed: make(chan struct{}), onClose: s.remove}
	s.open[c] = struct{}{}
	s.counts.Accepted++
	s.counts.Greatest = max(s.counts.Greatest, len(s.open))
	return c
}

func (s *connections) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// silence permanently drops all traffic on the connections that are open now.
func (s *connections) silence() {
	for _, c := range s.list() {
		c.silent.Store(true)
	}
}

// closeAll closes every open connection.
func (s *connections) closeAll() {
	for _, c := range s.list() {
		_ = c.Close()
	}
}

func (s *connections) list() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*connection, 0, len(s.open))
	for c := range s.open {
		all = append(all, c)
	}
	return all
}

func (s *connections) count() ConnectionCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Open = len(s.open)
	return counts
}
