package tracker

import (
	"cmp"
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
)

// UnitID identifies a unit of ownership: one of the parts into which the capacity of a service's upstreams is divided.
type UnitID struct {
	Service string `cbor:"1,keyasint"`
	Index   int    `cbor:"2,keyasint,omitempty"`
}

// Compare orders unit identifiers by service, then by index.
func (id UnitID) Compare(other UnitID) int {
	return cmp.Or(cmp.Compare(id.Service, other.Service), cmp.Compare(id.Index, other.Index))
}

// MessageKind is the kind of a message of the lease protocol.
type MessageKind uint8

// The kinds of messages.
const (
	// Request asks a voter for a lease or for its renewal.
	Request MessageKind = iota + 1
	// Grant grants the lease that a Request asked for.
	Grant
	// Deny refuses a Request, because another candidate holds the voter's grant, because the voter is in a
	// no-grant period, or because the voter does not know the unit or the epoch.
	Deny
	// Release ends a grant early.
	Release
)

// String returns the name of k as written in logs.
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
// It is encoded with integer keys, because renewals make up most of the control traffic.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	Unit UnitID      `cbor:"2,keyasint"`
	// Epoch identifies the voter sets that the sender uses, and the unit's voters.
	Epoch uint64 `cbor:"3,keyasint"`
	// Seat and Incarnation identify the candidate of the lease.
	Seat        int   `cbor:"4,keyasint"`
	Incarnation int64 `cbor:"5,keyasint"`
	// SentAt is the time of the Request on the candidate's clock; a reply repeats it.
	// A Release covers every Request up to SentAt.
	SentAt tiller.Millis `cbor:"6,keyasint"`
	// Length is the duration of the lease in milliseconds. In a Deny it is the time in milliseconds
	// until the voter may grant again, as far as it knows.
	Length tiller.Millis `cbor:"7,keyasint,omitempty"`
	// Holder is, in a Deny, the seat that holds the voter's grant, and in a Release the seat
	// that is invited to take over; -1 when there is none. Other messages do not use it.
	Holder int `cbor:"8,keyasint,omitempty"`
	// Suspects are the request digests that are suspected or blocked. Renewals send them to the voters,
	// and grants send them to a new owner.
	Suspects []Suspect `cbor:"9,keyasint,omitempty"`
	// SuspectsHash is the hash of the sender's list of suspects; 0 means an empty list. A renewal
	// includes the list only for a voter whose last Grant had a different hash.
	SuspectsHash uint64 `cbor:"10,keyasint,omitempty"`
	// Renewal says that the candidate owns the unit. In a Deny it says that Holder owns the unit.
	Renewal bool `cbor:"11,keyasint,omitempty"`
	// Settled says that the sender's no-grant period after the last change of the unit's voters has ended.
	Settled bool `cbor:"12,keyasint,omitempty"`
	// Wait is the time in milliseconds for which requests sent under an earlier lease may still run,
	// in a Grant and in a Release.
	Wait tiller.Millis `cbor:"13,keyasint,omitempty"`
}

// Suspect is the digest of a request after which upstreams were lost, so that it is suspected of harming them.
type Suspect struct {
	Digest uint64 `cbor:"1,keyasint"`
	// Losses is the number of distinct upstreams lost.
	Losses int `cbor:"2,keyasint,omitempty"`
	// Expires is the time in milliseconds until the suspicion ends.
	Expires tiller.Millis `cbor:"3,keyasint"`
}
