package cataloger

import tiller "github.com/carawaytiller/carawaytiller"

// Route describes how requests for one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Repeatable reports whether a request may run more than once.
	Repeatable bool
	// Timeout is the maximum time that a request may wait for its answer.
	Timeout tiller.Millis
	// Target is the latency up to which an answer has its full value.
	Target tiller.Millis
	// Attempts is the maximum number of upstreams that one request may be sent to. It applies to each
	// shard separately.
	Attempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Regions are the regions in which requests may be served. If it is empty, all regions are
	// allowed.
	Regions []string
	// Services are the services among which requests are divided by weight. A plain route has one
	// entry, a route with Shards has none.
	Services []Weighted
	// Shards are the services that each hold one part of the index. A request is sent to all of them.
	Shards []string
	// TopK is the number of records in an answer that is merged from Shards.
	TopK int
	// MinCoverage is the minimum fraction of Shards, from 0 to 1, that an answer must include.
	MinCoverage float64
}

// Weighted is a service with its weight in the division of requests.
type Weighted struct {
	Service string
	Weight  float64
}

// IsSharded reports whether requests of the route are sent to shards.
func (r Route) IsSharded() bool { return len(r.Shards) > 0 }

// Allows reports whether requests of the route may be served in the region.
func (r Route) Allows(region string) bool {
	if len(r.Regions) == 0 {
		return true
	}
	for _, allowed := range r.Regions {
		if allowed == region {
			return true
		}
	}
	return false
}

// MinShards returns the minimum number of shards that an answer must include. It is at least 1.
func (r Route) MinShards() int {
	n := int(r.MinCoverage * float64(len(r.Shards)))
	// The tolerance absorbs the rounding error of the product, which would otherwise add a shard.
	if float64(n)+1e-9 < r.MinCoverage*float64(len(r.Shards)) {
		n++
	}
	return max(n, 1)
}
