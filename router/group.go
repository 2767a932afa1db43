package router

// None is the index that stands for no upstream.
const None int32 = -1

// Group holds the shards of a query that one attempt sends to one upstream.
type Group struct {
	// Upstream is the index of the upstream among those of the snapshot.
	Upstream int32
	// Shards are the indexes of the shards.
	Shards []int32
}

// Grouper groups shards by upstream. It reuses its buffers between calls, so one Grouper must not be used concurrently.
type Grouper struct {
	// choices is the chosen upstream of each shard, or None.
	choices []int32
	// counts is the number of shards by upstream; once the groups are allocated, the index of the upstream's group.
	counts []int32
	// order lists the chosen upstreams in the order of their first shard.
	order []int32
}

// Group calls choose once for each shard. It returns one group for each chosen upstream, in the order in
// which the upstreams were first chosen, and the shards for which choose returned None.
// choose must return None or an index less than upstreams.
func (g *Grouper) Group(shards []int32, upstreams int, choose func(shard int32) int32) (groups []Group, unassigned []int32) {
	g.reset(upstreams)
	assigned := 0
	for _, shard := range shards {
		u := choose(shard)
		g.choices = append(g.choices, u)
		if u == None {
			unassigned = append(unassigned, shard)
			continue
		}
		if g.counts[u] == 0 {
			g.order = append(g.order, u)
		}
		g.counts[u]++
		assigned++
	}
	groups = make([]Group, len(g.order))
	backing := make([]int32, assigned)
	for i, u := range g.order {
		n := g.counts[u]
		groups[i] = Group{Upstream: u, Shards: backing[:0:n]}
		backing = backing[n:]
		g.counts[u] = int32(i)
	}
	for i, shard := range shards {
		if u := g.choices[i]; u != None {
			group := &groups[g.counts[u]]
			group.Shards = append(group.Shards, shard)
		}
	}
	return groups, unassigned
}

// reset clears only the counts that the last call used, so that its cost does not grow
// with the number of upstreams.
func (g *Grouper) reset(upstreams int) {
	for _, u := range g.order {
		g.counts[u] = 0
	}
	g.choices, g.order = g.choices[:0], g.order[:0]
	if len(g.counts) < upstreams {
		g.counts = make([]int32, upstreams)
	}
}
