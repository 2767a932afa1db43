package forwarder

import (
	"net"
	"syscall"
)

// IsIdle says whether a connection is open and nothing was received on it that is not read yet.
// It does not wait for a reader of the connection. Bytes that arrive while no request is
// outstanding belong to no request.
func IsIdle(conn net.Conn) bool {
	_, err := peek(conn)
	return err == syscall.EAGAIN
}

// IsClosed says whether the other end has closed a connection and everything that it sent was read.
func IsClosed(conn net.Conn) bool {
	n, err := peek(conn)
	return n <= 0 && err != syscall.EAGAIN
}

// peek looks at the next byte that was received on a connection, and leaves it there. Without one,
// the error is EAGAIN while the connection is open. A connection that cannot be looked at is taken
// to be open.
func peek(conn net.Conn) (n int, err error) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	// Control, unlike Read, takes no lock that a waiting reader holds.
	closed := control.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if closed != nil {
		return 0, closed
	}
	return n, err
}
