package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// Effect is something that the runner is to carry out.
type Effect interface{ effect() }

// ForwardID identifies a query forwarded to a peer.
type ForwardID uint64

// SendAttempt sends a request to an upstream.
type SendAttempt struct {
	Upstream string
	Address  string
	Request  tiller.SearchRequest
	// ValidUntil is the time after which the runner drops the effect and
	// reports AttemptFailed with NotRun and ReasonLeaseExpired.
	ValidUntil tiller.Millis
	// Fresh asks for a connection that has carried bytes in the last second, or a new one.
	Fresh bool
}

// CancelAttempt cancels an attempt; nothing more is expected from it.
type CancelAttempt struct {
	Attempt tiller.AttemptID
	Reason  tiller.Reason
}

// Reply ends a query with its result.
type Reply struct {
	Caller string
	ID     tiller.RequestID
	// To is the seat that forwarded the query, or LocalCaller.
	To int
	// Ref is that of the QueryArrived.
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

// Forward sends a query to the daemon that holds a seat.
type Forward struct {
	Forward   ForwardID
	Seat      int
	Query     tiller.Query
	Redirects int
}

// CancelForward cancels a query forwarded to a peer; nothing more is expected from it.
type CancelForward struct {
	Forward ForwardID
}

// SendLease sends a message of the lease protocol to a seat.
type SendLease struct {
	To      int
	Message LeasePayload
}

// SendWarmState sends to a seat what is known of the cold start of upstreams, or asks for it.
type SendWarmState struct {
	To        int
	WarmState WarmState
}

// WarmState is a message between the owners of two units of one service.
type WarmState struct {
	// Unit is the sender's.
	Unit tracker.UnitID
	// Warm and Cold name upstreams of which the sender's unit has the cold allowance.
	Warm []string
	Cold []string
	// Ask says that the sender wants to know which upstreams are warm.
	Ask bool
}

// Wake asks for a TimeAdvanced event at a time. A later Wake replaces an earlier one.
type Wake struct{ Time tiller.Millis }

// Count adds to a counter, such as "refusal" with the label "QueueFull".
type Count struct {
	Name  string
	Label tiller.Reason
	N     int64
}

// Announce makes a fact known to all daemons. Of two facts with one key, the one with the greater version counts.
type Announce struct {
	Key     string
	Version int64
	Value   []byte
}

// FinishMove asks for the final state of a rollout to be written to the stored document.
type FinishMove struct {
	Move   string
	State  tiller.MoveState
	Detail string
}

// Stopped says that nothing accepted is left and the daemon may end.
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
