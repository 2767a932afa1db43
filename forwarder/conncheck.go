package forwarder

import (
	"net"
	"syscall"
)

// IsIdle reports whether a connection is open and its receive buffer is empty. Bytes that arrive while no
// request is outstanding belong to no request, so such a connection must not be reused. IsIdle does not
// block, also while another goroutine reads from the connection.
func IsIdle(conn net.Conn) bool {
	_, err := peek(conn)
	return err == syscall.EAGAIN
}

// IsClosed reports whether a connection was closed by the other end, with no unread data, or has failed.
func IsClosed(conn net.Conn) bool {
	n, err := peek(conn)
	return n <= 0 && err != syscall.EAGAIN
}

// peek peeks at the next received byte without consuming it. It returns EAGAIN if the connection is open and
// has no unread data, and 0 bytes without an error at the end of the stream. A connection that is not a
// syscall.Conn is assumed to be open and without unread data.
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
	// Unlike RawConn.Read, Control does not take the read lock that a blocked reader holds.
	controlErr := control.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}
