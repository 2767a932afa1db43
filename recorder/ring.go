package recorder

import tiller "github.com/carawaytiller/carawaytiller"

// Kind is a kind of decision.
type Kind string

const (
	Arrived        Kind = "Arrived"
	Forwarded      Kind = "Forwarded"
	Queued         Kind = "Queued"
	WaitsForCanary Kind = "WaitsForCanary" // waits for the canary of another query with the same digest
	Pinned         Kind = "Pinned"         // bound to one snapshot         // bound to one snapshot
	Sent           Kind = "Sent"
	Canary         Kind = "Canary" // first attempt of a query that is not known to be harmless
	Retried        Kind = "Retried"
	Hedged         Kind = "Hedged"
	Responded      Kind = "Responded"
	Failed         Kind = "Failed"
	Cancelled      Kind = "Cancelled"
	Dropped        Kind = "Dropped"
	Rerun          Kind = "Rerun" // started again on the current snapshot
	Answered       Kind = "Answered"
	Refused        Kind = "Refused"
)

// Decision is one decision about a request.
type Decision struct {
	At      tiller.Millis
	Caller  string
	Request tiller.RequestID
	Kind    Kind
	// Upstream is set for decisions about an attempt.
	Upstream string
	Attempt  tiller.AttemptID
	Reason   tiller.Reason
	// Detail depends on the kind: the name of a snapshot, or the verdict of a failure or refusal.
	Detail string
	// Count is the seat that forwarded the query for Arrived (-1 when it came from a caller), the seat to
	// which it is forwarded for Forwarded, the length of the queue for Queued, and else the number of
	// shards concerned, if any.
	Count int
}

// Ring is a ring buffer of the latest decisions. It must not be used concurrently.
type Ring struct {
	decisions []Decision
	next      int
	full      bool
}

// New returns a Ring for at most limit decisions.
func New(limit int) *Ring {
	return &Ring{decisions: make([]Decision, max(limit, 1))}
}

// Add records a decision. When the ring is full, it overwrites the oldest one.
func (r *Ring) Add(d Decision) {
	r.decisions[r.next] = d
	r.next++
	if r.next == len(r.decisions) {
		r.next = 0
		r.full = true
	}
}

// ForRequest returns the decisions about a request, oldest first. Its cost grows with the size of the ring.
func (r *Ring) ForRequest(id tiller.RequestID) []Decision {
	var found []Decision
	if r.full {
		found = appendMatching(found, r.decisions[r.next:], id)
	}
	return appendMatching(found, r.decisions[:r.next], id)
}

func appendMatching(found, decisions []Decision, id tiller.RequestID) []Decision {
	for _, d := range decisions {
		if d.Request == id {
			found = append(found, d)
		}
	}
	return found
}
