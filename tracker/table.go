package tracker

import tiller "github.com/carawaytiller/carawaytiller"

// Unit is a unit of ownership with the seats that vote on its lease, in rank order.
type Unit struct {
	ID     UnitID
	Voters []int
}

// Envelope is a message and the seat that it goes to.
type Envelope struct {
	To      int
	Message Message
}

// Holding tells what a daemon may do with a unit.
type Holding struct {
	// Owned says that this daemon holds the lease.
	Owned bool
	// StartAt is the time from which the owner may send to upstreams.
	StartAt tiller.Millis
	// ValidUntil is the end of the lease on this daemon's clock.
	ValidUntil tiller.Millis
	// Owner is the seat of the last known owner; -1 when unknown.
	Owner int
}
