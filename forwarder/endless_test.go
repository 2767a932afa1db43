package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/accountant"
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
			client := forwarder.New(tiller.SystemClock(), newAccount(), func(http.Header) string { return "" })
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, failure := client.Do(ctx, forwarder.Request{Address: address, Key: "u", Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
			runtime.ReadMemStats(&after)
			require.NotNil(t, failure)
			require.Equal(t, tiller.MayHaveRun, failure.Verdict)
			if name != "Trailer" { // which net/http rejects before the bound is reached
				// The connection was not lost, which would count as a crash of the upstream.
				require.Equal(t, tiller.ReasonMismatch, failure.Reason)
			}
			require.NoError(t, ctx.Err(), "read until the timeout, %d bytes", sent.Load())
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxHeld))
		})
	}
}

// Many upstreams send without end at the same time. What all answers hold together must stay within the limit of the
// process, an answer that is cut off must count as one that may have run, and sound upstreams must be served.
func TestManyEndlessAnswersStayWithinLimit(t *testing.T) {
	const (
		limit   = 4 << 20
		senders = 32
	)
	long := strings.Repeat("x", 64<<10)
	var cuts atomic.Int64
	var unexpected atomic.Value
	account := accountant.New(limit, func(int64) { cuts.Add(1) })
	client := forwarder.New(tiller.SystemClock(), account, func(h http.Header) string { return h.Get("Id") })
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range senders {
		form := [][2]string{
			{"HTTP/1.1 200 OK\r\n\r\n", long},
			{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + long + "\r\n"},
			{"HTTP/1.1 200 OK\r\n", "X-A: " + long + "\r\n"},
		}[i%3]
		address, _ := newStream(t, form[0], form[1])
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				_, failure := client.Do(ctx, forwarder.Request{Address: address, Key: "u", Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
				isCut := failure != nil && failure.Verdict == tiller.MayHaveRun &&
					(failure.Reason == tiller.ReasonMemoryLimit || failure.Reason == tiller.ReasonMismatch)
				if !isCut && ctx.Err() == nil {
					unexpected.Store(fmt.Sprint(failure))
				}
			}
		}()
	}
	sound := newUpstream(t, completeResponse)
	for i := 0; i < 300 || cuts.Load() < senders; i++ {
		resp, failure := client.Do(context.Background(), sound.request(strconv.Itoa(i)))
		require.Nil(t, failure)
		require.Equal(t, "body", string(resp.Body))
		require.LessOrEqual(t, account.Held(), int64(limit))
		resp.Holding.Release()
	}
	cancel()
	wg.Wait()
	require.Nil(t, unexpected.Load())
	require.Zero(t, account.Held())
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
		client := forwarder.New(tiller.SystemClock(), newAccount(), func(http.Header) string { return "" })
		_, failure := client.Do(context.Background(), forwarder.Request{
			Address: l.Addr().String(), Key: "u", Method: "GET", URI: "/", Host: "h", Header: http.Header{},
		})
		require.NotNil(t, failure, "head cut after %q", whole[:n])
		require.Equal(t, tiller.MayHaveRun, failure.Verdict, "head cut after %q", whole[:n])
		_ = l.Close()
	}
}
