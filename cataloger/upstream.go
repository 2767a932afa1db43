package cataloger

import tiller "github.com/carawaytiller/carawaytiller"

// Upstream is one server of a service.
type Upstream struct {
	ID      string
	Service string
	// Address is the host and port of the upstream.
	Address string
	Domain  string
	Region  string
	// Version is the version of the software that the upstream runs.
	Version string
	Slots   int
	// Draining reports whether the upstream is about to leave and accepts no new requests.
	Draining bool
	// Cold is how much longer the upstream stays cold, as of its last report; 0 if it is warm.
	Cold tiller.Millis
	// Incarnation identifies one start of the process behind ID; 0 if it is not known.
	Incarnation int64
}

// Equal reports whether u and other describe the same process in the same state.
func (u Upstream) Equal(other Upstream) bool { return u == other }
