package faker

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Holding is a set of shards of one snapshot that an upstream serves.
type Holding struct {
	Service  string
	Snapshot string
	Shards   []string
}

// Holdings returns the shards that doc assigns to the upstream with the given name.
func Holdings(doc tiller.Document, name string) []Holding {
	var all []Holding
	for _, service := range doc.Services {
		for _, snapshot := range service.Snapshots {
			if shards := shardsOf(snapshot, name); len(shards) > 0 {
				all = append(all, Holding{Service: service.Name, Snapshot: snapshot.Name, Shards: shards})
			}
		}
	}
	return all
}

func shardsOf(snapshot tiller.Snapshot, name string) []string {
	var shards []string
	for _, shard := range snapshot.Shards {
		if slices.Contains(shard.Upstreams, name) {
			shards = append(shards, shard.Name)
		}
	}
	return shards
}

// catalog maps a service and a snapshot to the set of shards served.
type catalog map[[2]string]map[string]bool

func newCatalog(holdings []Holding) catalog {
	c := catalog{}
	for _, h := range holdings {
		id := [2]string{h.Service, h.Snapshot}
		if c[id] == nil {
			c[id] = map[string]bool{}
		}
		for _, shard := range h.Shards {
			c[id][shard] = true
		}
	}
	return c
}
