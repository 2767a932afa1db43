package forwarder

import (
	"net"
	"syscall"
)

// IsQuiet says whether an idle connection is open and nothing was received on it.
// Bytes that arrive while no request is outstanding belong to no request.
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
	err = control.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
