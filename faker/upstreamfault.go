package faker

import (
	"maps"

	tiller "github.com/carawaytiller/carawaytiller"
)

// UpstreamFaults are the faults of an Upstream that can be changed while it runs. The zero value has none.
// Draining and Shed apply on arrival; the faults of the run are those in force when the request gets its slot.
type UpstreamFaults struct {
	// Draining refuses new requests with reason Draining; waiting and running requests continue.
	Draining bool
	// Shed refuses new requests with reason Shed, as if slots and queue were full.
	Shed bool
	// Unhealthy makes the health endpoint report unhealthy. Without it the endpoint reports healthy.
	// The actual state of the upstream is not considered.
	Unhealthy bool
	// Silent, when it changes from false to true, permanently drops all bytes in both directions on the
	// connections open at that time. They stay open until the peer closes them or the upstream crashes
	// or is closed. Connections opened later work normally.
	Silent bool
	// Mismatch answers each request with the response made for the previously completed request.
	Mismatch bool
	// Poison is a text that crashes the upstream when it starts to run a request whose body contains it.
	// Empty disables the fault.
	Poison string
	// Fail is the fraction of requests, from 0 to 1, that run and then fail with reason UpstreamError.
	Fail float64
	// ServiceMillis is added to the service time of each request.
	ServiceMillis tiller.Millis
	// StragglerEvery makes each request a straggler with probability 1/StragglerEvery; 0 means none.
	StragglerEvery int
	// StragglerFactor multiplies the service time of a straggler; values below 1 count as 1.
	StragglerFactor int
	// Routes holds faults of individual routes by route name.
	Routes map[string]RouteFaults
	// LoadLagMillis is the age, in milliseconds, of the load that the load endpoint reports.
	LoadLagMillis tiller.Millis
}

// RouteFaults are the faults of one route.
type RouteFaults struct {
	// ServiceMillis is added to the service time, on top of UpstreamFaults.ServiceMillis.
	ServiceMillis tiller.Millis
	// Fail is the fraction of requests, from 0 to 1, that run and then fail with reason UpstreamError.
	Fail float64
}

// clone returns a deep copy of f.
func (f UpstreamFaults) clone() UpstreamFaults {
	f.Routes = maps.Clone(f.Routes)
	return f
}

// failShare returns the fraction of requests of a route that fail: the larger of the two Fail settings.
func (f UpstreamFaults) failShare(route string) float64 {
	return max(f.Fail, f.Routes[route].Fail)
}

// serviceTime returns the service time of a request on route: base plus the added times,
// multiplied by StragglerFactor if it is a straggler.
func (f UpstreamFaults) serviceTime(base tiller.Millis, route string, straggler bool) tiller.Millis {
	d := base + f.ServiceMillis + f.Routes[route].ServiceMillis
	if straggler {
		d *= tiller.Millis(max(f.StragglerFactor, 1))
	}
	return d
}
