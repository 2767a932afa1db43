package gatekeeper_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failingUpstream runs each request and answers with the given status and its stamp, without a statement that the
// request has not run.
func failingUpstream(status int, runs *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		id := r.Header.Get("X-Carawaytiller-Request-Id")
		w.Header().Set("X-Carawaytiller-Request-Id", id)
		w.Header().Set("X-Carawaytiller-Server-Stamp", "single.i-failing."+id)
		w.WriteHeader(status)
	})
}

// A client must not be told that its request has not run when an upstream has run it and then answers with a
// rejection. The failure must not bear the stamp of the upstream, whose status it does not have.
func TestRejectionAfterRunBecomesBadGateway(t *testing.T) {
	f := newFleet(t)
	f.configure(2, "/more/")
	f.store.Remove("servers/i-single")
	for _, status := range []int{408, 429, 503} {
		var runs atomic.Int64
		server := httptest.NewServer(failingUpstream(status, &runs))
		t.Cleanup(server.Close)
		id := fmt.Sprint("i-failing-", status)
		f.registerUpstream(id, "single", "east-a", server.Listener.Addr().String(), "ready")
		for _, uri := range []string{"/one/1", "/more/1"} {
			before := runs.Load()
			var a answer
			require.Eventually(t, func() bool {
				a = f.request(f.daemons[0], "POST", uri, strings.NewReader("body"))
				return runs.Load() > before
			}, changeTimeout, 20*time.Millisecond)
			require.Equal(t, http.StatusBadGateway, a.status, "upstream's status %d, %s", status, uri)
			require.Empty(t, a.header.Get("X-Carawaytiller-Server-Stamp"))
			require.Equal(t, "UpstreamError", a.reason(t))
		}
		f.store.Remove("servers/" + id)
	}
}
