package gatherer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

// With 180 shards and 18 daemons of 0.12 of a core, a daemon that requested the shards of its region itself took
// 180 ms of processor time for a query. Many shards must be divided among the daemons even if each has enough
// connections, and few shards must not.
func TestManyShardsAreDividedInASmallFleet(t *testing.T) {
	for _, tt := range []struct {
		shards  int
		divided bool
	}{{20, false}, {50, false}, {180, true}, {270, true}} {
		s := New(Settings{VM: "vm-0"})
		route := cataloger.Route{Name: "r", Host: "h", Prefix: "/"}
		var services []cataloger.Service
		for i := range tt.shards {
			route.Shards = append(route.Shards, fmt.Sprintf("s-%d", i))
			services = append(services, cataloger.Service{Name: route.Shards[i], MaxConnections: 175})
		}
		s.Step(1, ConfigurationChanged{Configuration: cataloger.New(1, cataloger.Limits{}, []cataloger.Route{route}, services)})
		require.Equal(t, tt.divided, s.isGrouped("s-0"), "%d shards", tt.shards)
	}
}

// arrive sends a query to a daemon and returns its sub-queries.
func arrive(s *State, now tiller.Millis, query uint64) (sent []SendSubQuery, refusal *Refuse) {
	for _, e := range s.Step(now, QueryArrived{Query: query, ID: fmt.Sprint(query), Host: "h", Path: "/x", Deadline: 1000}) {
		switch e := e.(type) {
		case SendSubQuery:
			sent = append(sent, e)
		case Refuse:
			refusal = &e
		}
	}
	return sent, refusal
}

// fire advances a daemon to a time and returns the effects of its timers.
func fire(s *State, until tiller.Millis) (effects []Effect) {
	for {
		at, ok := s.NextTimer()
		if !ok || at > until {
			return effects
		}
		effects = append(effects, s.Step(at, TimerFired{})...)
	}
}

// takerOf returns a daemon that gathers no group of the shards, in a failure domain of the first region.
func takerOf(states []*State) *State {
	for _, s := range states {
		gathers := false
		for i := range 90 {
			service := fmt.Sprintf("s-%d", i)
			gathers = gathers || s.settings.Domain < "d-3" && s.isGatherer(service, s.groupCountOf(service))
		}
		if !gathers && s.settings.Power == 100 {
			return s
		}
	}
	return nil
}

// A weak VM that applies hundreds of changes sees the acceptances of all daemons late. It must not take all of them for
// silent and spend its retry budget, but one that is silent must be replaced.
func TestBusyDaemonDoesNotTakeAllOthersForSilent(t *testing.T) {
	for name, others := range map[string]bool{"AllLate": false, "OneSilent": true} {
		s := takerOf(largeFleet())
		sent, refusal := arrive(s, 1000, 1)
		require.Nil(t, refusal)
		require.GreaterOrEqual(t, len(sent), minSilentDaemons)
		near := 0
		for sent[near].Member.Region != s.settings.Region {
			near++
		}
		if others {
			for i, e := range sent {
				if i != near {
					s.Step(1010, SubQueryAccepted{Attempt: e.Attempt})
				}
			}
		}
		replaced := make(map[uint64]bool)
		for _, e := range fire(s, 1100) {
			if c, ok := e.(Cancel); ok {
				replaced[c.Attempt] = true
			}
		}
		require.Equal(t, others, replaced[sent[near].Attempt], name)
		if others {
			continue
		}
		require.Empty(t, replaced)
		confirmed := 0
		for _, e := range sent {
			for _, effect := range s.Step(1100, SubQueryAccepted{Attempt: e.Attempt}) {
				if _, ok := effect.(ConfirmSubQuery); ok {
					confirmed++
				}
			}
		}
		require.Equal(t, len(sent), confirmed)
	}
}

// When both daemons that gather a group are unreachable, the next one must take their place: shards that the asking
// daemon requested itself took a weak VM longer than the target.
func TestNextDaemonGathersForUnreachableOnes(t *testing.T) {
	s := takerOf(largeFleet())
	u := s.upstreams["u-0-0"]
	q := &query{groups: s.groupCountOf(u.Service)}
	ranked := s.rankedGatherers(groupKey{u.Domain, groupOf(u.Service, q.groups)})
	require.Greater(t, len(ranked), gatherersPerGroup)
	for _, p := range ranked[:gatherersPerGroup] {
		p.unreachable = true
	}
	got, ok := s.cheapestGatherer(1000, q, u, nil)
	require.True(t, ok)
	require.Contains(t, ranked[gatherersPerGroup:2*gatherersPerGroup], got.peer)
}

// A configuration that names another set of shards must open connections to its upstreams at once, at the daemons that
// gather them and nowhere else: opened by the first queries, they held up all of them.
func TestNewShardsAreConnectedAhead(t *testing.T) {
	for _, s := range largeFleet() {
		s.Step(2, FleetSettled{})
		route := cataloger.Route{Name: "r", Host: "h", Prefix: "/", Attempts: 2, Repeatable: true}
		var services []cataloger.Service
		for i := range 90 {
			service := fmt.Sprintf("new-%d", i)
			route.Shards = append(route.Shards, service)
			services = append(services, cataloger.Service{Name: service, MaxConnections: 51})
			for j := range 3 {
				domain := fmt.Sprintf("d-%d", j)
				for _, e := range s.Step(3, UpstreamChanged{Upstream: cataloger.Upstream{ID: fmt.Sprintf("n-%d-%d", i, j), Service: service, Domain: domain, Region: domain[:3], Address: "a", Slots: 2}}) {
					_, connects := e.(PreconnectUpstream)
					require.False(t, connects)
				}
			}
		}
		for range 2 {
			connected := make(map[string]bool)
			for _, e := range s.Step(4, ConfigurationChanged{Configuration: cataloger.New(s.Version()+1, cataloger.Limits{}, []cataloger.Route{route}, services)}) {
				if p, ok := e.(PreconnectUpstream); ok {
					connected[p.Upstream.ID] = true
				}
			}
			for _, u := range s.upstreams {
				gathered := s.configuration.Uses(u.Service) && u.Domain == s.settings.Domain && s.isGatherer(u.Service, s.groupCountOf(u.Service))
				require.Equal(t, gathered && s.Version() == 2, connected[u.ID])
			}
		}
	}
}
