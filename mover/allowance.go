package mover

// Allowance is one daemon's part of the requests that the new version of a rollout may get from the whole
// fleet before it is known to be good: a share of all requests and a fixed number on top. Each daemon keeps to
// its own part, so the fleet keeps to the bound without any agreement. It is immutable.
type Allowance struct {
	share    float64
	slack    float64
	offset   float64
	requests int
	sent     int
}

// NewAllowance returns an allowance of share (from 0 to 1) of the daemon's requests plus slack requests.
// offset, from 0 to below 1, is a different one for each daemon: a daemon with a small part then rounds it up
// or down such that the parts of all daemons still add up.
func NewAllowance(share, slack, offset float64) Allowance {
	return Allowance{share: max(share, 0), slack: max(slack, 0), offset: offset}
}

// WithRequest counts a request to the service; isNew is true if it goes to the new version.
func (a Allowance) WithRequest(isNew bool) Allowance {
	a.requests++
	if isNew {
		a.sent++
	}
	return a
}

// Admits reports whether one more request may go to the new version when a part of the slack, from 0 to 1, is
// released.
func (a Allowance) Admits(released float64) bool {
	return float64(a.sent+1) <= a.share*float64(a.requests)+a.slack*min(max(released, 0), 1)+a.offset
}

// Sent returns the number of requests to the new version.
func (a Allowance) Sent() int { return a.sent }
