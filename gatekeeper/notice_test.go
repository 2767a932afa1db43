package gatekeeper_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// An upstream that says in an answer that it is leaving must get no further request from the daemon that got the answer,
// nor from the daemon that passed it on, although the store says nothing.
func TestLeavingUpstreamIsNotAskedAgain(t *testing.T) {
	f := newFleet(t)
	leaving := f.upstreams["i-0-0"]
	leaving.SetLeaving()
	for i := range 40 {
		uri := fmt.Sprintf("/all/%d", i)
		for _, d := range f.daemons {
			requireGathered(t, f.request(d, "GET", uri, nil), uri)
		}
	}
	// Each daemon may learn of it by a request of its own.
	require.Positive(t, leaving.Requests())
	require.LessOrEqual(t, leaving.Requests(), len(f.daemons))
	single := f.upstreams["i-single"]
	single.SetLeaving()
	require.Equal(t, http.StatusOK, f.request(f.daemons[0], "GET", "/one/1", nil).status)
	a := f.request(f.daemons[0], "GET", "/one/2", nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Equal(t, 1, single.Requests())
}

// An upstream that asks for a pause must get none from that daemon until it has ended, and clients must hear when to
// come again.
func TestPauseIsKeptOverHTTP(t *testing.T) {
	f := newFleet(t)
	single := f.upstreams["i-single"]
	single.SetPause("30")
	for i := range 10 {
		a := f.request(f.daemons[0], "GET", fmt.Sprintf("/one/%d", i), nil)
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		if i == 0 {
			continue
		}
		require.Equal(t, "Limited", a.reason(t))
		wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.InDelta(t, 30, wait, 2)
	}
	require.Equal(t, 1, single.Requests())
}
