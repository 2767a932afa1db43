package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// Effect is an action for the runner to carry out.
type Effect interface{ effect() }

// ForwardID identifies a query forwarded to a peer.
type ForwardID uint64

// SendAttempt sends a request to an upstream.
type SendAttempt struct {
	Upstream string
	Address  string
	Request  tiller.SearchRequest
	// ValidUntil is the end of the lease. After it, the runner does not send the request and reports
	// AttemptFailed with NotRun and ReasonLeaseExpired.
	ValidUntil tiller.Millis
	// Fresh asks for a connection that has carried bytes in the last second, or a new one.
	Fresh bool
}

// CancelAttempt cancels an attempt. Its outcome is no longer needed.
type CancelAttempt struct {
	Attempt tiller.AttemptID
	Reason  tiller.Reason
}

// Reply sends the result of a query.
type Reply struct {
	Caller string
	ID     tiller.RequestID
	// To is the seat that forwarded the query, or LocalCaller.
	To int
	// Ref is the Ref of the QueryArrived.
	Ref    uint64
	Result tiller.Result
}

// IssueToken answers a TokenRequested.
type IssueToken struct {
	Ref     uint64
	Token   string
	Expires tiller.Millis
	// Refusal is set instead of Token when no token can be issued.
	Refusal *tiller.Refusal
}

// Forward sends a query to the daemon at a seat.
type Forward struct {
	Forward ForwardID
	Seat    int
	Query   tiller.Query
	// Redirects is the number of daemons to which the query was forwarded before,
	// since this daemon last looked for the owner.
	Redirects int
}

// CancelForward cancels a query forwarded to a peer. Its outcome is no longer needed.
type CancelForward struct {
	Forward ForwardID
}

// SendLease sends a message of the lease protocol to the daemon at a seat.
type SendLease struct {
	To      int
	Message LeasePayload
}

// SendWarmState sends a WarmState to the daemon at a seat.
type SendWarmState struct {
	To        int
	WarmState WarmState
}

// WarmState is a message between the owners of two units of a service about upstreams in cold start.
// Only one unit of the service has the cold allowance of an upstream, which is the number of requests allowed in
// flight while the upstream is cold. The other units use the upstream once that unit reports it warm.
type WarmState struct {
	// Unit is the sender's unit.
	Unit tracker.UnitID
	// Warm and Cold name upstreams of which the sender's unit has the cold allowance.
	Warm []string
	Cold []string
	// Ask requests the names of the warm upstreams.
	Ask bool
}

// Wake requests a TimeAdvanced event at a time. It replaces the previous Wake.
type Wake struct{ Time tiller.Millis }

// Count adds N to a counter, such as "refusal" with the label "QueueFull".
type Count struct {
	Name  string
	Label tiller.Reason
	N     int64
}

// Announce distributes a fact to all daemons. Of two facts with the same key, the greater version wins.
type Announce struct {
	Key     string
	Version int64
	Value   []byte
}

// FinishMove requests that the final state of a rollout be written to the stored document.
type FinishMove struct {
	Move   string
	State  tiller.MoveState
	Detail string
}

// Stopped reports that no accepted query and no attempt is left, so that the process may exit.
type Stopped struct{}

func (SendAttempt) effect()   {}
func (CancelAttempt) effect() {}
func (Reply) effect()         {}
func (IssueToken) effect()    {}
func (Forward) effect()       {}
func (CancelForward) effect() {}
func (SendLease) effect()     {}
func (SendWarmState) effect() {}
func (Wake) effect()          {}
func (Count) effect()         {}
func (Announce) effect()      {}
func (FinishMove) effect()    {}
func (Stopped) effect()       {}
