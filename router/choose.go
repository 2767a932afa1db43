package router

// Candidate is an upstream that could receive a request for some shards.
type Candidate struct {
	// Index is the index of the upstream among those of the snapshot.
	Index int32
	// Cold is set when a warm upstream is preferred, as during the upstream's cold start.
	Cold bool
	// Failed is set when the upstream failed the same shards before or is likely to fail for the same cause as
	// one that did, such as an upstream in the same failure domain. Any other upstream is preferred.
	Failed bool
	// InFlight is the number of requests in flight, and Limit the maximum number of them.
	InFlight int
	Limit    int
}

// Better reports whether a is preferred to b. It prefers, in this order, a candidate that is not Failed,
// a warm one, and the lower ratio of requests in flight to the limit. Ties are broken by a hash of the random
// number and the index. With one random number for all shards of a query, ties are broken alike for
// every shard, so that the query needs few upstreams.
func Better(a, b Candidate, random uint64) bool {
	if a.Failed != b.Failed {
		return b.Failed
	}
	if a.Cold != b.Cold {
		return b.Cold
	}
	// Cross-multiplied, to compare the ratios without division.
	loadA, loadB := a.InFlight*b.Limit, b.InFlight*a.Limit
	if loadA != loadB {
		return loadA < loadB
	}
	return mix64(random^uint64(a.Index)) < mix64(random^uint64(b.Index))
}

// mix64 hashes x with the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
