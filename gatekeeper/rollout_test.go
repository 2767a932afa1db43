package gatekeeper_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/platform/faker"
)

// addVersion starts an upstream of the version v2 in the region of another one.
func (f *fleet) addVersion(id, service, domain string, failing bool) *faker.Upstream {
	u := faker.NewUpstream(id, service, 9)
	u.SetFailing(failing)
	server := httptest.NewServer(u)
	f.t.Cleanup(server.Close)
	f.store.Put("servers/"+id, fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v2","Slots":2,"State":"ready","ColdMs":0,"Sequence":1}`, service, server.Listener.Addr().String(), domain))
	return u
}

// requestUntil sends requests to all daemons in turn until the store holds a state of the service's rollout, and
// returns it.
func (f *fleet) requestUntil(service, path string, states ...string) string {
	end := time.Now().Add(15 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		f.request(f.daemons[i%len(f.daemons)], "POST", fmt.Sprintf("%s%d", path, i), nil)
		value := f.store.Value("status/rollout/" + service)
		for _, state := range states {
			if strings.Contains(value, state) {
				return state
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	return f.store.Value("status/rollout/" + service)
}

// A bad version must be rolled back and a good one completed, by daemons that read the order from the store,
// exchange their evidence and publish the result.
func TestRolloutIsDecided(t *testing.T) {
	for _, tt := range []struct {
		name    string
		failing bool
		want    string
	}{{"Bad", true, "rolled_back"}, {"Good", false, "completed"}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.store.Put("op/rollout/single", `{"Service":"single","TargetVersion":"v2","DurationS":6}`)
			added := f.addVersion("i-v2", "single", "east-a", tt.failing)
			require.Equal(t, tt.want, f.requestUntil("single", "/one/", "rolled_back", "completed"))
			runs := added.TotalRuns()
			require.Positive(t, runs)
			require.Eventually(t, func() bool {
				before := added.TotalRuns()
				for i := range 10 {
					f.request(f.daemons[i%len(f.daemons)], "POST", fmt.Sprintf("/one/after-%d", i), nil)
				}
				served := added.TotalRuns() - before
				return tt.failing && served == 0 || !tt.failing && served == 10
			}, 5*time.Second, 50*time.Millisecond)
		})
	}
}
