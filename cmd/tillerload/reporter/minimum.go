package reporter

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
)

// Minimum returns a function that gives the least number of upstream requests for a query over the current
// snapshots of doc. It covers the shards greedily, by the upstream with the most shards that are left.
func Minimum(doc *tiller.Document) func(planner.Request) int {
	groups := map[string]int{}
	for _, s := range doc.Services {
		snapshot, _ := s.Snapshot(s.Current)
		groups[s.Name] = countGroups(snapshot.Shards)
	}
	return func(r planner.Request) int {
		if r.Kind == planner.Print {
			return 1
		}
		return groups[r.Service]
	}
}

// countGroups returns the number of upstreams that a greedy cover of the shards takes.
func countGroups(shards []tiller.Shard) int {
	groups := 0
	for len(shards) > 0 {
		best := mostHeld(shards)
		var left []tiller.Shard
		for _, s := range shards {
			if !holds(s, best) {
				left = append(left, s)
			}
		}
		if len(left) == len(shards) {
			return groups
		}
		shards = left
		groups++
	}
	return groups
}

// mostHeld returns the upstream with the most of the shards, the first one of equals.
func mostHeld(shards []tiller.Shard) string {
	best := ""
	counts := map[string]int{"": 0}
	for _, s := range shards {
		for _, name := range s.Upstreams {
			counts[name]++
		}
	}
	for _, s := range shards {
		for _, name := range s.Upstreams {
			if counts[name] > counts[best] {
				best = name
			}
		}
	}
	return best
}

func holds(s tiller.Shard, upstream string) bool {
	for _, name := range s.Upstreams {
		if name == upstream {
			return true
		}
	}
	return false
}
