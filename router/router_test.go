package router_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/router"
)

func ExampleUnitCount() {
	fmt.Println(router.UnitCount([]tiller.Upstream{{Slots: 64, Connections: 10}, {Slots: 40, Connections: 12}}, 8))
	// Output: 5
}

func seats(n, domains, regions int) []router.Seat {
	d := &tiller.Document{Seats: n}
	for i := range domains {
		d.Domains = append(d.Domains, tiller.Domain{Name: fmt.Sprint("d", i), Region: fmt.Sprint("r", i%regions)})
	}
	return router.Seats(d)
}

// TestRankIsStableAndWeighted guards against a ranking in which the removal of a seat changes the order of
// the others, and against weights without effect.
func TestRankIsStableAndWeighted(t *testing.T) {
	all := seats(20, 4, 2)
	all[3].Weight = 4
	first := 0
	for key := range uint64(4000) {
		ranked := router.Rank(key, all)
		if ranked[0].Number == 3 {
			first++
		}
		rest := router.Rank(key, all[1:])
		i := 0
		for _, s := range ranked {
			if s.Number != 0 {
				require.Equal(t, s.Number, rest[i].Number)
				i++
			}
		}
	}
	require.InDelta(t, 4000*4/23, first, 100)
}

// TestVotersPreferRegionThenDomains guards against voters outside the home region, with which a unit has no
// owner during a partition, and against voters in one failure domain, with which it has none when that fails.
func TestVotersPreferRegionThenDomains(t *testing.T) {
	tests := []struct {
		name                      string
		seats, domains, regions   int
		wantDomains, wantInRegion int
	}{
		{"three domains in one region", 8, 3, 1, 3, 3},
		{"one home domain of two regions", 8, 2, 2, 1, 3},
		{"nine domains in three regions", 90, 9, 3, 3, 3},
		{"one seat in the home region", 4, 4, 4, 3, 1},
		{"two seats in all", 2, 2, 2, 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			all := seats(test.seats, test.domains, test.regions)
			ranker := router.NewRanker(all)
			for index := range 50 {
				voters := ranker.Voters("s", index, "r0")
				domains, inRegion := map[string]bool{}, 0
				for _, v := range voters {
					domains[all[v].Domain] = true
					if all[v].Region == "r0" {
						inRegion++
					}
				}
				require.Len(t, voters, min(3, test.seats))
				require.Len(t, domains, test.wantDomains)
				require.Equal(t, test.wantInRegion, inRegion)
			}
		})
	}
}

// TestQuotasAddUp guards against quotas whose sum exceeds an upstream's slots, with which the units
// together overload it.
func TestQuotasAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 100).Draw(t, "n")
		units := rapid.IntRange(1, 12).Draw(t, "units")
		name := rapid.String().Draw(t, "upstream")
		sum := 0
		for i := range units {
			sum += router.Quota(n, name, i, units)
		}
		require.Equal(t, n, sum)
		require.GreaterOrEqual(t, router.Quota(n, name, router.ColdUnit(name, units), units), min(n, 1))
	})
}

// TestEpochChangesOnlyWithVoterSets guards against an epoch that changes when a failure domain is taken out of
// service: all owners would stop during that failure.
func TestEpochChangesOnlyWithVoterSets(t *testing.T) {
	d := &tiller.Document{Seats: 8, Domains: []tiller.Domain{{Name: "a", Region: "x"}, {Name: "b", Region: "x"}}}
	before := router.Epoch(d)
	d.Domains[0].Out, d.Revision = true, 7
	require.Equal(t, before, router.Epoch(d))
	d.Seats = 9
	require.NotEqual(t, before, router.Epoch(d))
}

// TestGroupsHoldEachShardOnce guards against a shard that is lost, duplicated, or grouped under an upstream
// that was not chosen for it.
func TestGroupsHoldEachShardOnce(t *testing.T) {
	g := &router.Grouper{}
	rapid.Check(t, func(t *rapid.T) {
		choice := rapid.SliceOfN(rapid.Int32Range(-1, 9), 0, 60).Draw(t, "choice")
		shards := make([]int32, len(choice))
		for i := range shards {
			shards[i] = int32(i)
		}
		groups, none := g.Group(shards, 10, func(s int32) int32 { return choice[s] })
		seen := map[int32]bool{}
		for _, group := range groups {
			for _, s := range group.Shards {
				require.Equal(t, group.Upstream, choice[s])
				require.False(t, seen[s])
				seen[s] = true
			}
		}
		for _, s := range none {
			require.Equal(t, router.None, choice[s])
		}
		require.Len(t, shards, len(seen)+len(none))
	})
}

// TestBetter checks the order of preference between upstreams, and that ties go to either one equally often.
func TestBetter(t *testing.T) {
	warm := router.Candidate{Index: 1, InFlight: 3, Limit: 4}
	cold := router.Candidate{Index: 2, InFlight: 0, Limit: 4, Cold: true}
	idle := router.Candidate{Index: 3, InFlight: 1, Limit: 2}
	failed := router.Candidate{Index: 4, InFlight: 0, Limit: 4, Failed: true}
	require.True(t, router.Better(warm, cold, 1))
	require.True(t, router.Better(idle, warm, 1))
	require.True(t, router.Better(cold, failed, 1))
	wins := 0
	for random := range uint64(1000) {
		other := idle
		other.Index = 9
		if router.Better(idle, other, random) {
			wins++
		}
	}
	require.InDelta(t, 500, wins, 60)
}
