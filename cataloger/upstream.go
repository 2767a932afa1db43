package cataloger

import tiller "github.com/carawaytiller/carawaytiller"

// Upstream is one server of a service.
type Upstream struct {
	ID      string
	Service string
	// Address is host and port.
	Address string
	Domain  string
	Region  string
	// Version is the version of the software that the upstream runs.
	Version string
	Slots   int
	// Draining says that the upstream is about to leave and takes no new work.
	Draining bool
	// Cold is the time for which the upstream stays cold, as of its last report; 0 when it is warm.
	Cold tiller.Millis
	// Incarnation identifies the start of the process behind ID; 0 when it is not known.
	Incarnation int64
}

// Equal says whether u and other are the same process in the same state.
func (u Upstream) Equal(other Upstream) bool { return u == other }
