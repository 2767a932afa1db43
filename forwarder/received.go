package forwarder

import (
	"net"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/accountant"
)

// errTooLong means that a response has more bytes than are accepted.
var errTooLong = errors.Errorf("answer exceeds %d bytes in its heads or %d bytes in its body", maxHeadBytes, maxResponseBytes)

// receivedBytes reads the bytes of one response from a connection, up to a bound.
type receivedBytes struct {
	conn    net.Conn
	left    int64
	holding *accountant.Holding
}

// allow sets the number of bytes that may still be read.
func (b *receivedBytes) allow(n int64) { b.left = n }

// Read reads from the connection. It returns errTooLong when no more bytes are allowed.
func (b *receivedBytes) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := accountant.Reader{R: b.conn, Holding: b.holding}.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// failure returns the failure of a response that could not be read. A response that is too long is none, but its
// connection was not lost.
func (b *receivedBytes) failure(err error) *tiller.Failure {
	if b.left <= 0 || errors.Is(err, errTooLong) {
		return tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonMismatch, errTooLong)
	}
	return tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonConnectionLost, err)
}
