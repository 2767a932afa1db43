package reducer

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
)

// plan is a snapshot with its upstreams resolved to members of a unit. It is immutable and shared by
// the queries pinned to it.
type plan struct {
	snapshot string
	// single is set when the query goes to one upstream, for the first shard that this upstream holds.
	single  bool
	shards  []planShard
	members []*member
	// memberShards lists the shards of each member.
	memberShards [][]int32
	// singleNames holds for each member the name of its first shard, which a request names when single is set.
	singleNames []string
	allShards   []int32
}

// planShard is a shard and the indexes of the members that hold a replica of it.
type planShard struct {
	name     string
	replicas []int32
}

// newPlan returns the plan of a snapshot for a unit. It adds upstreams that the unit does not have yet.
func (s *State) newPlan(u *unit, n tiller.Snapshot) *plan {
	p := &plan{snapshot: n.Name}
	indexes := make(map[string]int32)
	for _, sh := range n.Shards {
		p.add(s, u, sh, indexes)
	}
	return p
}

func (p *plan) add(s *State, u *unit, sh tiller.Shard, indexes map[string]int32) {
	number := int32(len(p.shards))
	ps := planShard{name: sh.Name}
	for _, name := range sh.Upstreams {
		i, ok := indexes[name]
		if !ok {
			i = int32(len(p.members))
			indexes[name] = i
			p.members = append(p.members, s.member(u, name))
			p.memberShards = append(p.memberShards, nil)
			p.singleNames = append(p.singleNames, sh.Name)
		}
		if !slices.Contains(ps.replicas, i) {
			ps.replicas = append(ps.replicas, i)
			p.memberShards[i] = append(p.memberShards[i], number)
		}
	}
	p.shards = append(p.shards, ps)
	p.allShards = append(p.allShards, number)
}

// asSingle returns the plan for a route that runs on one upstream: it has one shard, which every member holds.
func (p *plan) asSingle() *plan {
	single := &plan{snapshot: p.snapshot, single: true, members: p.members, singleNames: p.singleNames}
	if len(p.members) == 0 {
		return single
	}
	sh := planShard{name: p.shards[0].name}
	for i := range p.members {
		sh.replicas = append(sh.replicas, int32(i))
		single.memberShards = append(single.memberShards, []int32{0})
	}
	single.shards = []planShard{sh}
	single.allShards = []int32{0}
	return single
}

// shardNames returns the names of shards for a request to a member.
func (p *plan) shardNames(member int32, shards []int32) []string {
	names := make([]string, len(shards))
	for i, sh := range shards {
		names[i] = p.shards[sh].name
		if p.single {
			names[i] = p.singleNames[member]
		}
	}
	return names
}
