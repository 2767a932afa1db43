package gatherer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/cataloger"
)

// largeFleet returns the states of 60 daemons in six failure domains that share 90 shards with an upstream in each
// of three domains.
func largeFleet() []*State {
	var members []cataloger.Member
	for i := range 60 {
		domain := fmt.Sprintf("d-%d", i%6)
		members = append(members, cataloger.Member{VM: fmt.Sprintf("vm-%d", i), Address: "a", Domain: domain, Region: domain[:3], Power: 100 + i/6%3*300})
	}
	route := cataloger.Route{Name: "r", Host: "h", Prefix: "/", Attempts: 2, Repeatable: true, Target: 120}
	var services []cataloger.Service
	for i := range 90 {
		route.Shards = append(route.Shards, fmt.Sprintf("s-%d", i))
		services = append(services, cataloger.Service{Name: fmt.Sprintf("s-%d", i), MaxConnections: 51})
	}
	var states []*State
	for _, m := range members {
		s := New(Settings{VM: m.VM, Domain: m.Domain, Region: m.Region, Power: m.Power, Bounds: cataloger.Bounds{CanaryShare: 0.1, CanarySlack: 50}})
		s.Step(1, MembersChanged{Members: members})
		s.Step(1, ConfigurationChanged{Configuration: cataloger.New(1, cataloger.Limits{}, []cataloger.Route{route}, services)})
		for i := range 90 {
			for j := range 3 {
				domain := fmt.Sprintf("d-%d", j)
				s.Step(1, UpstreamChanged{Upstream: cataloger.Upstream{ID: fmt.Sprintf("u-%d-%d", i, j), Service: fmt.Sprintf("s-%d", i), Domain: domain, Region: domain[:3], Address: "a", Slots: 2}})
			}
		}
		states = append(states, s)
	}
	return states
}

// In a large fleet few daemons send to a shard. They must have most of what the fleet may send to a new version or
// to a limited upstream, and all parts together must keep to the bound: an even share left a rollout undecided.
func TestPartsGoToTheDaemonsThatSend(t *testing.T) {
	states := largeFleet()
	for _, service := range []string{"s-0", "s-17", "s-89"} {
		slack, regularSlack := 0.0, 0.0
		for _, s := range states {
			part := s.canarySlack(service)
			slack += part
			if s.isGatherer(service, s.groupCountOf(service)) {
				regularSlack += part
			}
		}
		require.LessOrEqual(t, slack, 50.0, service)
		require.GreaterOrEqual(t, regularSlack, 0.5*50, service)
	}
	for _, limit := range []float64{0.5, 3, 20, 200} {
		total, regular := 0.0, 0.0
		for _, s := range states {
			u := s.upstreams["u-5-1"]
			u.limit = requestLimit{named: true, perSecond: limit}
			part := s.limitShare(u)
			total += part
			if _, isNear := s.nearSenders(u); isNear {
				regular += part
			}
		}
		require.LessOrEqual(t, total, 1.001*limit, "limit %g", limit)
		require.GreaterOrEqual(t, regular, 0.7*limit, "limit %g", limit)
	}
}

// One daemon of each region must collect the reports, the strongest one, and all must agree on it.
func TestCollectorsAreAgreedOn(t *testing.T) {
	states := largeFleet()
	collectors := 0
	for _, s := range states {
		if s.isCollector() {
			collectors++
			require.Equal(t, 700, s.settings.Power)
		}
		for _, p := range s.collectors(1) {
			require.Equal(t, 700, p.Power)
		}
	}
	require.Equal(t, 6, collectors)
}
