package faker

import (
	"maps"

	tiller "github.com/carawaytiller/carawaytiller"
)

// UpstreamFaults are the faults of an Upstream that can be changed while it runs. The zero value has none.
// A request keeps the faults that were in force when it got its slot.
type UpstreamFaults struct {
	// Draining refuses new requests with reason Draining; requests that wait or run go on.
	Draining bool
	// Shed refuses new requests with reason Shed, as if slots and queue were full.
	Shed bool
	// Unhealthy makes the health endpoint say so, whatever the state. Without it the endpoint says healthy.
	Unhealthy bool
	// Silent, when it changes from false to true, stops every byte in both directions on the connections
	// that are open at that time, for good. They stay open until the peer closes them or the upstream crashes.
	// Connections opened later work.
	Silent bool
	// Mismatch answers each request with the response made for the request before it.
	Mismatch bool
	// Poison crashes the upstream when it starts to run a request whose body contains it; empty means none.
	Poison string
	// Fail is the share of requests, from 0 to 1, that run and end with reason UpstreamError.
	Fail float64
	// ServiceMillis is added to the service time of each request.
	ServiceMillis tiller.Millis
	// StragglerEvery makes one in so many responses a straggler; 0 means none.
	StragglerEvery int
	// StragglerFactor is the service time of a straggler divided by that of other responses.
	StragglerFactor int
	// Routes holds the faults of single routes by route name.
	Routes map[string]RouteFaults
	// LoadLagMillis is the age of the load that the load endpoint reports.
	LoadLagMillis tiller.Millis
}

// RouteFaults are the faults of one route.
type RouteFaults struct {
	// ServiceMillis is added to the service time.
	ServiceMillis tiller.Millis
	// Fail is the share of requests, from 0 to 1, that run and end with reason UpstreamError.
	Fail float64
}

// clone returns a copy of f that shares nothing with it.
func (f UpstreamFaults) clone() UpstreamFaults {
	f.Routes = maps.Clone(f.Routes)
	return f
}

// failShare returns the share of requests of a route that fail.
func (f UpstreamFaults) failShare(route string) float64 {
	return max(f.Fail, f.Routes[route].Fail)
}

// serviceTime returns the service time of a request of a route that is a straggler or not.
func (f UpstreamFaults) serviceTime(base tiller.Millis, route string, straggler bool) tiller.Millis {
	d := base + f.ServiceMillis + f.Routes[route].ServiceMillis
	if straggler {
		d *= tiller.Millis(max(f.StragglerFactor, 1))
	}
	return d
}
