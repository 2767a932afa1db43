package faker

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// listener is a net.Listener that enforces a connection limit.
type listener struct {
	net.Listener
	conns *connections
}

// Accept waits for the next connection within the limit. It immediately closes connections beyond the limit.
func (l listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.add(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// listen listens on address, whose host must be a loopback IP address.
func listen(address string, conns *connections) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, errors.Errorf("address %q is not a loopback IP address", address)
	}
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return listener{Listener: raw, conns: conns}, nil
}

// server serves one handler on one listener over HTTP/1.1 and cleartext HTTP/2.
type server struct {
	http   *http.Server
	conns  *connections
	served chan struct{}

	mu       sync.Mutex
	closed   bool
	handlers sync.WaitGroup
}

type connectionKey struct{}

func serve(l net.Listener, conns *connections, h http.Handler) *server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &server{conns: conns, served: make(chan struct{})}
	s.http = &http.Server{
		Handler:   s.track(h),
		Protocols: protocols,
		// Fakes abort connections on purpose, so the server's error log is discarded.
		ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
	}
	go func() {
		defer close(s.served)
		_ = s.http.Serve(l)
	}()
	return s
}

// track wraps h so that close can wait for the running handlers. After halt it aborts new requests.
func (s *server) track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		s.handlers.Add(1)
		s.mu.Unlock()
		defer s.handlers.Done()
		h.ServeHTTP(w, r)
	})
}

// halt closes the listener and every connection.
func (s *server) halt() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.http.Close()
}

// close halts the server and waits for the running handlers.
func (s *server) close() {
	s.halt()
	<-s.served
	// Serve has returned, so no connection is accepted any more; this also closes one accepted during halt.
	s.conns.closeAll()
	s.handlers.Wait()
}

// abort ends the handler without a response and closes the network connection of the request,
// which an in-process request does not have.
func abort(ctx context.Context) {
	if c, ok := ctx.Value(connectionKey{}).(net.Conn); ok {
		_ = c.Close()
	}
	panic(http.ErrAbortHandler)
}
