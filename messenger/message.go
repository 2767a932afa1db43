package messenger

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/tracker"
)

const (
	// MaxMessageBytes is the maximum length of a message, including its version byte.
	MaxMessageBytes = 1 << 20
	// Version is the first byte of every message.
	Version byte = 1
)

// Forward is a query that a daemon forwards to the owner of the query's unit or to the issuer of its token.
type Forward struct {
	// Query is the query; its deadline is a time of the local daemon's clock.
	Query tiller.Query
	// Redirects is the number of other daemons to which the query was forwarded before, since the sender last
	// looked for the owner.
	Redirects int
}

// Leaving announces a planned stop of a daemon, which must get no new work.
type Leaving struct {
	Seat        int   `cbor:"1,keyasint"`
	Incarnation int64 `cbor:"2,keyasint"`
}

// RevisionDigest states which revision of each named value a daemon has.
type RevisionDigest struct {
	Revisions map[string]int64 `cbor:"1,keyasint"`
}

// RevisionPush carries one revision of the value called Name.
type RevisionPush struct {
	Name     string `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
	Value    []byte `cbor:"3,keyasint"`
}

// forwardRequest is the wire form of a Forward. It carries the remaining time instead of a deadline,
// because the daemons' clocks have different origins.
type forwardRequest struct {
	From            int           `cbor:"1,keyasint"`
	To              int           `cbor:"2,keyasint"`
	Query           tiller.Query  `cbor:"3,keyasint"`
	Redirects       int           `cbor:"4,keyasint,omitempty"`
	RemainingMillis tiller.Millis `cbor:"5,keyasint"`
}

// forwardReply is the reply to a forwardRequest.
type forwardReply struct {
	Result tiller.Result `cbor:"1,keyasint"`
}

// notice is a one-way message. A receiver that does not hold the seat To drops it: the sender used
// the address of an earlier holder of that seat.
type notice struct {
	From    int               `cbor:"1,keyasint"`
	To      int               `cbor:"2,keyasint"`
	Leases  []tracker.Message `cbor:"3,keyasint,omitempty"`
	Leaving *Leaving          `cbor:"4,keyasint,omitempty"`
	Digest  *RevisionDigest   `cbor:"5,keyasint,omitempty"`
	Push    *RevisionPush     `cbor:"6,keyasint,omitempty"`
}

// isValidFor reports whether a reply holds either an answer or a refusal, but not both, for the query id.
func (r forwardReply) isValidFor(id tiller.RequestID) bool {
	answer, refusal := r.Result.Answer, r.Result.Refusal
	switch {
	case answer != nil && refusal == nil:
		return answer.ID == id
	case answer == nil && refusal != nil:
		return refusal.ID == id && refusal.Verdict <= tiller.Ran
	}
	return false
}
