package messenger

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/tracker"
)

const (
	// MaxMessageBytes is the greatest length of a message, with its version byte.
	MaxMessageBytes = 1 << 20
	// Version is the first byte of every message.
	Version byte = 1
)

// Forward is a query that a daemon passes on to the owner of its unit or to the issuer of its token.
type Forward struct {
	// Query is the query; its deadline is on the clock of the daemon that has it.
	Query tiller.Query
	// Redirects counts the daemons that have passed the query on.
	Redirects int
}

// Leaving says that a daemon is about to stop as planned and is to get no new work.
type Leaving struct {
	Seat        int   `cbor:"1,keyasint"`
	Incarnation int64 `cbor:"2,keyasint"`
}

// RevisionDigest says which revisions a daemon has, by the name of what is revised.
type RevisionDigest struct {
	Revisions map[string]int64 `cbor:"1,keyasint"`
}

// RevisionPush carries one revision of what Name names.
type RevisionPush struct {
	Name     string `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
	Value    []byte `cbor:"3,keyasint"`
}

// forwardRequest is a Forward on its way. It carries the time left instead of a
// deadline, because the daemons' clocks have different origins.
type forwardRequest struct {
	From            int           `cbor:"1,keyasint"`
	To              int           `cbor:"2,keyasint"`
	Query           tiller.Query  `cbor:"3,keyasint"`
	Redirects       int           `cbor:"4,keyasint,omitempty"`
	RemainingMillis tiller.Millis `cbor:"5,keyasint"`
}

// forwardReply answers a forwardRequest.
type forwardReply struct {
	Result tiller.Result `cbor:"1,keyasint"`
}

// notice is a message without a reply. A message for another seat than the receiver's
// is dropped: its address was that of an earlier holder of the seat.
type notice struct {
	From    int               `cbor:"1,keyasint"`
	To      int               `cbor:"2,keyasint"`
	Leases  []tracker.Message `cbor:"3,keyasint,omitempty"`
	Leaving *Leaving          `cbor:"4,keyasint,omitempty"`
	Digest  *RevisionDigest   `cbor:"5,keyasint,omitempty"`
	Push    *RevisionPush     `cbor:"6,keyasint,omitempty"`
}

// valid says whether a reply holds exactly one outcome, of the query id.
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
