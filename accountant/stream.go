package accountant

import (
	"io"
	"net"
	"net/http"
	"syscall"
)

// heldPerByte is the memory held for each received byte: what collects the bytes of a message holds them twice when it
// joins them.
const heldPerByte = 2

// Reader reads from R and adds what it has read to Holding.
type Reader struct {
	R       io.Reader
	Holding *Holding
}

// Read reads from R. It returns ErrLimit if the holding was cut off.
func (r Reader) Read(p []byte) (int, error) {
	n, err := r.R.Read(p)
	if n > 0 {
		if limitErr := r.Holding.Add(heldPerByte * int64(n)); limitErr != nil {
			return n, limitErr
		}
	}
	return n, err
}

// Listener accepts connections of type *Conn, each with a Holding of its own.
type Listener struct {
	net.Listener
	account *Account
}

// NewListener returns a Listener that accepts the connections of l.
func NewListener(l net.Listener, a *Account) *Listener { return &Listener{l, a} }

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, holding: l.account.Open(func() { _ = conn.Close() })}, nil
}

// Conn is a connection of a server. What it reads is held until the message is reported as finished by StateChanged or
// Finish. If its holding is cut off, the connection is closed.
type Conn struct {
	net.Conn
	holding *Holding
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := Reader{c.Conn, c.holding}.Read(p)
	if err == ErrLimit {
		// net/http closes the connection without a response only for errors of this type.
		err = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: ErrLimit}
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.holding.Release()
	return c.Conn.Close()
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EOPNOTSUPP
	}
	return raw.SyscallConn()
}

// Complete reports that the message was received as a whole. Until Finish, the connection is not closed for others.
func Complete(conn net.Conn) {
	if c, ok := conn.(*Conn); ok {
		c.holding.Protect()
	}
}

// Finish reports that the message is not held any more.
func Finish(conn net.Conn) {
	if c, ok := conn.(*Conn); ok {
		c.holding.Reset()
	}
}

// StateChanged is the ConnState hook of an http.Server: a request is finished when its connection becomes idle.
func StateChanged(conn net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		Finish(conn)
	}
}
