package gatekeeper_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/platform/faker"
)

// serveRaw answers each request on a new listener with reply, in which ID stands for the request's ID. It returns the
// address and counts the requests.
func serveRaw(t *testing.T, reply string) (address string, requests *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requests = &atomic.Int64{}
	go faker.ServeRaw(l, func(id string) string {
		requests.Add(1)
		return strings.ReplaceAll(reply, "ID", id)
	})
	return l.Addr().String(), requests
}

// Guards against a client that gets an upstream's response without a valid status as its answer, or waits for its
// deadline. It must get a refusal at once that does not promise that the request has not run.
func TestStatusThatIsNoAnswerBecomesBadGateway(t *testing.T) {
	const (
		headers = "X-Carawaytiller-Request-Id: ID\r\nX-Carawaytiller-Server-Stamp: single.i-trouble.ID\r\nContent-Length: "
		inside  = "HTTP/1.1 200 OK\r\n" + headers + "4\r\n\r\nfake"
	)
	f := newFleet(t)
	f.configure(2, "/more/")
	f.store.Remove("servers/i-single")
	for i, reply := range []string{
		"HTTP/1.1 000 Trouble\r\n" + headers + "4\r\n\r\nbody",
		"HTTP/1.1 000 Trouble\r\n" + headers + "0\r\n\r\n",
		"HTTP/1.1 000 Trouble\r\n\r\n" + inside,
		"HTTP/1.1 099 Trouble\r\n\r\n" + inside,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n" + inside,
		"HTTP/1.1 600 Trouble\r\n" + headers + "4\r\n\r\nbody",
		"HTTP/1.1 999 Trouble\r\nX-Carawaytiller-Not-Executed: 1\r\n" + headers + "4\r\n\r\nbody",
	} {
		address, requests := serveRaw(t, reply)
		id := fmt.Sprint("i-trouble-", i)
		f.registerUpstream(id, "single", "east-a", address, "ready")
		for _, uri := range []string{"/one/1", "/more/1"} {
			before := requests.Load()
			var a answer
			var took time.Duration
			require.Eventually(t, func() bool {
				start := time.Now()
				a = f.request(f.daemons[0], "POST", uri, strings.NewReader("body"))
				took = time.Since(start)
				return requests.Load() > before
			}, changeTimeout, 20*time.Millisecond)
			require.NoError(t, a.failure, "%q", reply)
			require.Equal(t, http.StatusBadGateway, a.status, "%q %s", reply, uri)
			require.Empty(t, a.header.Get("X-Carawaytiller-Server-Stamp"))
			require.Equal(t, "Mismatch", a.reason(t))
			require.Less(t, took, 500*time.Millisecond, "%q %s", reply, uri)
			if uri == "/one/1" {
				require.EqualValues(t, before+1, requests.Load(), "%q: a request that must not run twice was sent again", reply)
			}
		}
		f.store.Remove("servers/" + id)
		require.Eventually(t, func() bool {
			return f.request(f.daemons[0], "POST", "/one/1", nil).status == http.StatusServiceUnavailable
		}, changeTimeout, 20*time.Millisecond)
	}
}

// A shard whose upstream sends a response without a valid status must be answered by another upstream, also where that
// response holds what looks like an answer.
func TestStatusThatIsNoAnswerIsNoPart(t *testing.T) {
	f := newFleet(t)
	address, requests := serveRaw(t, "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nX-Carawaytiller-Request-Id: ID\r\nX-Carawaytiller-Server-Stamp: s-0.i-trouble.ID\r\nContent-Length: 16\r\n\r\n~~~~~~~~~~~~~~~~")
	f.registerUpstream("i-trouble", "s-0", "east-a", address, "ready")
	// The upstream in trouble is preferred.
	f.upstreams["i-0-0"].SetDelay(100 * time.Millisecond)
	f.upstreams["i-0-1"].SetDelay(100 * time.Millisecond)
	for i := 0; requests.Load() == 0; i++ {
		require.Less(t, i, 200, "the upstream was not asked")
		path := fmt.Sprint("/all/", i)
		requireGathered(t, f.request(f.daemons[0], "GET", path, nil), path)
	}
}
