package tracker

import tiller "github.com/carawaytiller/carawaytiller"

// UnitID names a unit of ownership: one of the parts into which the capacity of a service's upstreams is divided.
type UnitID struct {
	Service string
	Index   int
}

// MessageKind tells the messages of the lease protocol apart.
type MessageKind uint8

// The kinds of messages.
const (
	// Request asks a voter for a lease or for its renewal.
	Request MessageKind = iota + 1
	// Grant grants the lease that a Request asked for.
	Grant
	// Deny says that another daemon holds the lease, and which.
	Deny
	// Release gives a lease back before its end.
	Release
)

// Message is one message of the lease protocol between a candidate and a voter.
type Message struct {
	Kind MessageKind
	Unit UnitID
	// Epoch identifies the voter sets that the sender goes by.
	Epoch uint64
	// Seat and Incarnation name the candidate that asks or holds.
	Seat        int
	Incarnation int64
	// SentAt is the time of the Request on the candidate's clock, echoed in the reply.
	SentAt tiller.Millis
	// Length is the length of the lease in milliseconds.
	Length tiller.Millis
	// Holder is the seat that holds the lease, in a Deny; -1 when unknown.
	Holder int
	// Suspects are request digests that are suspected or blocked, carried by renewals.
	Suspects []Suspect
}

// Suspect is a digest of a request after which upstreams were lost.
type Suspect struct {
	Digest uint64
	// Losses is the number of different upstreams lost.
	Losses int
	// Expires is the remaining time in milliseconds for which the suspicion holds.
	Expires tiller.Millis
}
