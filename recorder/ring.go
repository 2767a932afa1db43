package recorder

import tiller "github.com/carawaytiller/carawaytiller"

// Kind names a kind of decision.
type Kind string

// The kinds of decisions.
const (
	Arrived   Kind = "Arrived"
	Forwarded Kind = "Forwarded"
	Queued    Kind = "Queued"
	WaitsForCanary    Kind = "WaitsForCanary"
	Pinned    Kind = "Pinned"
	Sent      Kind = "Sent"
	Canary    Kind = "Canary"
	Retried   Kind = "Retried"
	Hedged    Kind = "Hedged"
	Responded Kind = "Responded"
	Failed    Kind = "Failed"
	Cancelled Kind = "Cancelled"
	Dropped   Kind = "Dropped"
	Rerun     Kind = "Rerun"
	Answered  Kind = "Answered"
	Refused   Kind = "Refused"
)

// Decision is something decided for a request.
type Decision struct {
	At      tiller.Millis
	Caller  string
	Request tiller.RequestID
	Kind    Kind
	// Upstream is set for decisions about an attempt.
	Upstream string
	Attempt  tiller.AttemptID
	Reason   tiller.Reason
	// Detail is a name that belongs to the decision, such as that of a snapshot.
	Detail string
	// Count is the number of shards concerned, or a seat for Forwarded.
	Count int
}

// Ring holds the latest decisions. It changes in place and has one owner.
type Ring struct {
	decisions []Decision
	next      int
	full      bool
}

// New returns a Ring for at most limit decisions.
func New(limit int) *Ring {
	return &Ring{decisions: make([]Decision, max(limit, 1))}
}

// Add adds a decision; the oldest one is lost when the ring is full.
func (r *Ring) Add(d Decision) {
	r.decisions[r.next] = d
	r.next++
	if r.next == len(r.decisions) {
		r.next = 0
		r.full = true
	}
}

// ForRequest returns the decisions for a request, oldest first. Its cost grows with the size of the ring.
func (r *Ring) ForRequest(id tiller.RequestID) []Decision {
	var found []Decision
	if r.full {
		found = appendOf(found, r.decisions[r.next:], id)
	}
	return appendOf(found, r.decisions[:r.next], id)
}

func appendOf(found, decisions []Decision, id tiller.RequestID) []Decision {
	for _, d := range decisions {
		if d.Request == id {
			found = append(found, d)
		}
	}
	return found
}
