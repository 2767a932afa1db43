package gatekeeper_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/platform"
)

// Reads by each daemon of a fleet that starts at once were most of its billed store calls. A daemon must read the
// entries from a seed that has recent ones, and from the store if there is none.
func TestStartReadsFromSeed(t *testing.T) {
	f := newFleet(t)
	running := f.daemons[0].settings.ControlAddress
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	outdated := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, err := http.Get("http://" + running + r.URL.RequestURI())
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		w.Header().Set("Tiller-Age", "60000")
		w.Header().Set("Tiller-Hold", "0")
		_, _ = io.Copy(w, resp.Body)
	}))
	t.Cleanup(outdated.Close)
	for _, tt := range []struct {
		name  string
		seeds []string
		reads bool
	}{
		{"running", []string{running}, false},
		{"one of three running", []string{freeAddress(t), silent.Addr().String(), running}, false},
		{"refused", []string{freeAddress(t)}, true},
		{"silent", []string{silent.Addr().String()}, true},
		{"outdated", []string{outdated.Listener.Addr().String()}, true},
		{"none", nil, true},
	} {
		before := f.store.Calls("kv-range")
		d := f.startWith(f.address, "north-a", "vm-"+tt.name, func(s *platform.Settings) { s.Seeds = tt.seeds })
		start := time.Now()
		f.waitReady(d)
		require.Less(t, time.Since(start), 2*time.Second, tt.name)
		require.Equal(t, tt.reads, f.store.Calls("kv-range") > before, tt.name)
		requireGathered(t, f.request(d, "GET", "/all/1", nil), "/all/1")
		d.stop()
		t.Cleanup(func() { <-d.exited })
	}
}
