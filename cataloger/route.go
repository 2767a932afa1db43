package cataloger

import tiller "github.com/carawaytiller/carawaytiller"

// Route says how requests for one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Repeatable says that a request may run more than once.
	Repeatable bool
	// Timeout is the longest time for which a request may wait for its answer.
	Timeout tiller.Millis
	// Target is the latency within which an answer has its full value.
	Target tiller.Millis
	// Attempts is the number of upstreams (of each shard) that one request may be sent to.
	Attempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Regions are the only regions in which requests may be served; empty allows all.
	Regions []string
	// Services are the services that requests are divided among by weight. It has one entry
	// on a plain route and none when the route has Shards.
	Services []Weighted
	// Shards are the services that each hold a part of the index; a request goes to all of them.
	Shards []string
	// TopK is the number of records in an answer gathered from Shards.
	TopK int
	// MinCoverage is the smallest share of Shards, from 0 to 1, of which an answer may consist.
	MinCoverage float64
}

// Weighted is a service with its weight in a division of requests.
type Weighted struct {
	Service string
	Weight  float64
}

// IsSharded says whether requests of the route go to all of its shards.
func (r Route) IsSharded() bool { return len(r.Shards) > 0 }

// Allows says whether the route may be served in a region.
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

// MinShards returns the smallest number of shards of which an answer may consist.
func (r Route) MinShards() int {
	n := int(r.MinCoverage * float64(len(r.Shards)))
	// The comparison allows for the rounding of the product.
	if float64(n)+1e-9 < r.MinCoverage*float64(len(r.Shards)) {
		n++
	}
	return max(n, 1)
}
