package faker

import "maps"

// maxRecordedIDs bounds the request identifiers that an upstream records, so that long runs stay small.
const maxRecordedIDs = 1 << 20

// UpstreamCounts counts what an Upstream did, over all its incarnations.
type UpstreamCounts struct {
	// Run is the number of requests that started to run.
	Run int
	// Completed is the number of requests answered with results.
	Completed int
	// Failed is the number of requests answered UpstreamError.
	Failed int
	// Shed is the number of requests refused because slots and queue were full.
	Shed int
	// Drained is the number of requests refused because of draining.
	Drained int
	// TimedOut is the number of requests whose deadline passed while they waited or ran.
	TimedOut int
	// Cancelled is the number of requests whose client went away while they waited or ran.
	Cancelled int
	// Crashed is the number of requests that a crash ended.
	Crashed int
	// InFlight is the number of requests that run now.
	InFlight int
	// Waiting is the number of requests that wait for a slot now.
	Waiting int
	// GreatestInFlight is the greatest number of requests that ran at once.
	GreatestInFlight int
	// GreatestOutstanding is the greatest number of requests that ran or waited at once, with the one that was
	// shed because slots and queue were full.
	GreatestOutstanding int
	// GreatestColdInFlight is the greatest number of requests started in cold start that ran at once,
	// with the one that was not borne.
	GreatestColdInFlight int
	// Stragglers is the number of runs whose response was made a straggler.
	Stragglers int
	// Crashes is the number of crashes.
	Crashes int
	// Incarnation is the number of the present start, from 1.
	Incarnation int64
	// Cold says whether the upstream is in cold start.
	Cold bool
	// Unrecorded is the number of runs whose request identifier was not recorded for lack of room.
	Unrecorded int
	// Connections counts the connections.
	Connections ConnectionCounts
}

// runRecord counts the runs by route and request identifier.
type runRecord struct {
	routes map[string]map[string]int
	size   int
}

// add counts a run and reports whether there was room to record it.
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
