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

// listener accepts connections within a connection limit.
type listener struct {
	net.Listener
	conns *connections
}

// Accept waits for the next connection within the limit. Those beyond it are closed at once.
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

// listen listens on address, which must be on the loopback interface.
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

// server serves one handler on one listener over HTTP/1.1 and HTTP/2 cleartext.
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
		// Aborted connections are the purpose of a fake and not worth a log line.
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

// track lets close wait for the running handlers.
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
	// No connection can be accepted any more, so this closes the last one, too.
	s.conns.closeAll()
	s.handlers.Wait()
}

// abort ends the handler without a response and closes the connection of the request, if it came over one.
func abort(ctx context.Context) {
	if c, ok := ctx.Value(connectionKey{}).(net.Conn); ok {
		_ = c.Close()
	}
	panic(http.ErrAbortHandler)
}
