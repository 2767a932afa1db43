package tracker

import (
	"cmp"
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
)

// UnitID names a unit of ownership: one of the parts into which the capacity of a service's upstreams is divided.
type UnitID struct {
	Service string `cbor:"1,keyasint"`
	Index   int    `cbor:"2,keyasint,omitempty"`
}

// Compare orders unit identifiers by service, then by index.
func (id UnitID) Compare(other UnitID) int {
	return cmp.Or(cmp.Compare(id.Service, other.Service), cmp.Compare(id.Index, other.Index))
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

// String returns the name of k as it stands in logs.
func (k MessageKind) String() string {
	switch k {
	case Request:
		return "Request"
	case Grant:
		return "Grant"
	case Deny:
		return "Deny"
	case Release:
		return "Release"
	}
	return fmt.Sprintf("MessageKind(%d)", uint8(k))
}

// Message is one message of the lease protocol between a candidate and a voter.
// It is encoded with numbers as keys, because renewals are the bulk of the control traffic.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	Unit UnitID      `cbor:"2,keyasint"`
	// Epoch identifies the voter sets that the sender goes by and the unit's voters among them.
	Epoch uint64 `cbor:"3,keyasint"`
	// Seat and Incarnation name the candidate that asks or holds.
	Seat        int   `cbor:"4,keyasint"`
	Incarnation int64 `cbor:"5,keyasint"`
	// SentAt is the time of the Request on the candidate's clock, echoed in the reply.
	// A Release covers every Request up to SentAt.
	SentAt tiller.Millis `cbor:"6,keyasint"`
	// Length is the length of the lease in milliseconds. In a Deny it is the time
	// until the voter may grant again, as far as it knows.
	Length tiller.Millis `cbor:"7,keyasint,omitempty"`
	// Holder is the seat that holds the lease, in a Deny, and the candidate that
	// is to take over, in a Release; -1 when unknown.
	Holder int `cbor:"8,keyasint,omitempty"`
	// Suspects are request digests that are suspected or blocked, carried by renewals
	// and by the grants of a new owner.
	Suspects []Suspect `cbor:"9,keyasint,omitempty"`
	// SuspectsHash identifies the sender's list of suspects; 0 means an empty list. A renewal
	// carries the list only to a voter whose last Grant named another hash.
	SuspectsHash uint64 `cbor:"10,keyasint,omitempty"`
	// Renewal says that the candidate owns the unit. In a Deny it says so of Holder.
	Renewal bool `cbor:"11,keyasint,omitempty"`
	// Settled says that the sender's no-grant period after the last change of the unit's voters is over.
	Settled bool `cbor:"12,keyasint,omitempty"`
	// Wait is the time in milliseconds for which requests of an earlier owner may still run,
	// in a Grant and in a Release.
	Wait tiller.Millis `cbor:"13,keyasint,omitempty"`
}

// Suspect is a digest of a request after which upstreams were lost.
type Suspect struct {
	Digest uint64 `cbor:"1,keyasint"`
	// Losses is the number of different upstreams lost.
	Losses int `cbor:"2,keyasint,omitempty"`
	// Expires is the remaining time in milliseconds for which the suspicion holds.
	Expires tiller.Millis `cbor:"3,keyasint"`
}
