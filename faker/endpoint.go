package faker

import (
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// errClosed is returned by operations on a fake that was closed.
var errClosed = errors.New("the fake is closed")

// Endpoint serves a handler on a loopback address. Store, VMList and Platform embed one;
// a program uses one for the Control handlers of its fakes.
type Endpoint struct {
	handler http.Handler

	mu     sync.Mutex
	server *server
	closed bool
}

// NewEndpoint returns an Endpoint that serves h once it is started.
func NewEndpoint(h http.Handler) *Endpoint {
	return &Endpoint{handler: h}
}

// ServeHTTP serves one request in-process.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Start listens on a loopback address such as "127.0.0.1:0" and returns the address in use.
// It fails when it can't listen on the address, or when the endpoint was already started or closed.
func (e *Endpoint) Start(address string) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return "", errClosed
	}
	if e.server != nil {
		return "", errors.New("the fake was already started")
	}
	conns := newConnections(0, 0)
	l, err := listen(address, conns)
	if err != nil {
		return "", err
	}
	e.server = serve(l, conns, e.handler)
	return l.Addr().String(), nil
}

// Close closes the listener and every connection, and waits for the running handlers. It is idempotent.
func (e *Endpoint) Close() {
	e.mu.Lock()
	s := e.server
	e.server = nil
	e.closed = true
	e.mu.Unlock()
	if s != nil {
		s.close()
	}
}
