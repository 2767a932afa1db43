package router

// Candidate is an upstream that could take some shards.
type Candidate struct {
	// Index identifies the upstream among those of a snapshot.
	Index int32
	Cold  bool
	// Avoid says that the upstream failed the same shards before, or shares a failure with one that did.
	Avoid    bool
	InFlight int
	Limit    int
}

// Better says whether a is to be preferred to b: one that has not failed, a warm one, the lowest ratio of
// requests in flight to the limit. The random number decides between equals, in the same way
// for every shard of a query, so that their shards meet on few upstreams.
func Better(a, b Candidate, random uint64) bool {
	if a.Avoid != b.Avoid {
		return b.Avoid
	}
	if a.Cold != b.Cold {
		return b.Cold
	}
	loadA, loadB := a.InFlight*b.Limit, b.InFlight*a.Limit
	if loadA != loadB {
		return loadA < loadB
	}
	return mix64(random^uint64(a.Index)) < mix64(random^uint64(b.Index))
}

// mix spreads a number over 64 bits (the finalizer of splitmix64).
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
