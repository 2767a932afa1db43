package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/forwarder"
)

// newStream returns the address of an upstream that answers each request with start and then with repeat, without
// end. sent counts its bytes.
func newStream(t *testing.T, start, repeat string) (address string, sent *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				for data := start; ; data = repeat {
					n, err := conn.Write([]byte(data))
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), sent
}

// An upstream in trouble sends bytes without end. The daemon must neither hold them all in memory nor read on until
// the request times out.
func TestEndlessAnswerIsAborted(t *testing.T) {
	const (
		timeout = 20 * time.Second
		// maxHeld is the memory for one answer: the largest body that is accepted, read into a growing buffer.
		maxHeld = 64 << 20
	)
	long := strings.Repeat("x", 64<<10)
	for name, tt := range map[string]struct{ start, repeat string }{
		"NoLine":     {"HTTP/1.1 200 OK", long},
		"HeaderLine": {"HTTP/1.1 200 OK\r\nX-A: ", long},
		"Headers":    {"HTTP/1.1 200 OK\r\n", "X-A: " + long + "\r\n"},
		"Interim":    {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 2000)},
		"NoAnswer":   {"", long},
		"Body":       {"HTTP/1.1 200 OK\r\n\r\n", long},
		"Chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + long + "\r\n"},
		"Trailer":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: " + long + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := newStream(t, tt.start, tt.repeat)
			client := forwarder.New(tiller.SystemClock(), func(http.Header) string { return "" })
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, failure := client.Do(ctx, forwarder.Request{Address: address, Key: "u", Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
			runtime.ReadMemStats(&after)
			require.NotNil(t, failure)
			require.Equal(t, tiller.MayHaveRun, failure.Verdict)
			require.NoError(t, ctx.Err(), "read until the timeout, %d bytes", sent.Load())
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxHeld))
		})
	}
}

// An upstream that stops in the middle of its answer's head and closes must not look like one that answered.
func TestHeadThatEndsEarlyIsNoAnswer(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 10\r\n\r\n"
	for n := range len(whole) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 1024)
			_, _ = conn.Read(buffer)
			_, _ = conn.Write([]byte(whole[:n]))
			_ = conn.Close()
		}()
		client := forwarder.New(tiller.SystemClock(), func(http.Header) string { return "" })
		_, failure := client.Do(context.Background(), forwarder.Request{
			Address: l.Addr().String(), Key: "u", Method: "GET", URI: "/", Host: "h", Header: http.Header{},
		})
		require.NotNil(t, failure, "head cut after %q", whole[:n])
		require.Equal(t, tiller.MayHaveRun, failure.Verdict, "head cut after %q", whole[:n])
		_ = l.Close()
	}
}
