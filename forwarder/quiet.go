package forwarder

import (
	"net"
	"syscall"
)

// IsQuiet says whether a connection is open and nothing was received on it that is not read yet.
// It does not wait for a reader of the connection. Bytes that arrive while no request is
// outstanding belong to no request.
func IsQuiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	// Control, unlike Read, takes no lock that a waiting reader holds.
	err = control.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}
