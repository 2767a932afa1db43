package faker

import "maps"

// maxRecordedIDs is the maximum number of request identifiers that an upstream records.
// It bounds the memory used in long runs.
const maxRecordedIDs = 1 << 20

// UpstreamCounts holds the counters of an Upstream, over all its incarnations.
type UpstreamCounts struct {
	// Run is the number of requests that started to run.
	Run int
	// Completed is the number of requests answered with results.
	Completed int
	// Failed is the number of requests answered with reason UpstreamError.
	Failed int
	// Shed is the number of requests refused because slots and queue were full or the Shed fault was set.
	Shed int
	// Drained is the number of requests refused because the upstream was draining.
	Drained int
	// TimedOut is the number of requests whose deadline passed before they completed.
	TimedOut int
	// Cancelled is the number of requests whose client cancelled or disconnected before they completed.
	Cancelled int
	// Crashed is the number of requests aborted by a crash.
	Crashed int
	// InFlight is the number of requests that are running now.
	InFlight int
	// Waiting is the number of requests that are waiting for a slot now.
	Waiting int
	// GreatestInFlight is the highest number of requests that ran concurrently.
	GreatestInFlight int
	// GreatestOutstanding is the highest number of requests that ran or waited at the same time. A request that
	// is shed because slots and queue are full counts as one more.
	GreatestOutstanding int
	// GreatestColdInFlight is the highest number of requests started during a cold start that ran concurrently,
	// including the request that exceeded ColdSlots and crashed the upstream.
	GreatestColdInFlight int
	// Stragglers is the number of runs that were stragglers because of the StragglerEvery fault.
	Stragglers int
	// Crashes is the number of crashes.
	Crashes int
	// Incarnation is the number of the current incarnation; the first is 1.
	Incarnation int64
	// Cold reports whether a cold start is in progress.
	Cold bool
	// Unrecorded is the number of runs whose request identifier was not recorded because the record was full.
	Unrecorded int
	// Connections holds the connection counters.
	Connections ConnectionCounts
}

// runRecord counts runs by route and request identifier. size is the number of identifiers recorded.
type runRecord struct {
	routes map[string]map[string]int
	size   int
}

// add counts a run. It returns false, without counting, when the identifier is new and the record is full.
func (r *runRecord) add(route, id string) bool {
	ids := r.routes[route]
	if ids == nil {
		ids = map[string]int{}
		r.routes[route] = ids
	}
	if ids[id] == 0 {
		if r.size >= maxRecordedIDs {
			return false
		}
		r.size++
	}
	ids[id]++
	return true
}

func (r *runRecord) of(route string) map[string]int {
	return maps.Clone(r.routes[route])
}
