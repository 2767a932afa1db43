package reducer

import tiller "github.com/carawaytiller/carawaytiller"

// Event is an input of Step. Every event carries the time at which it was handled.
type Event interface {
	At() tiller.Millis
}

// Stamp holds the time of an event and a random number for the decisions that the event leads to.
type Stamp struct {
	Now    tiller.Millis
	Random uint64
}

// At returns the time of the event.
func (s Stamp) At() tiller.Millis { return s.Now }

// QueryArrived reports a query from a caller, or one that a peer forwarded.
type QueryArrived struct {
	Stamp
	Query tiller.Query
	// From is the seat that forwarded the query, or LocalCaller.
	From int
	// Redirects is the number of other daemons to which the peer forwarded the query before this one,
	// since it last looked for the owner; 0 for a query from a caller.
	Redirects int
	// Ref identifies the waiting caller or stream within the runner. It is copied to the Reply.
	Ref uint64
}

// LocalCaller is used in place of a seat for a query that came from a caller and not from a peer.
const LocalCaller = -1

// CallerGone reports that the caller of a query no longer waits for the result.
type CallerGone struct {
	Stamp
	Caller string
	ID     tiller.RequestID
	// Ref is the Ref of the QueryArrived. If it is not 0, only the query with this Ref is cancelled, so that
	// the caller of a duplicate does not cancel the first query with the same identifier.
	Ref uint64
}

// TokenRequested reports that a caller asks for a single-use token.
type TokenRequested struct {
	Stamp
	// Ref identifies the waiting caller within the runner.
	Ref uint64
}

// ResponseArrived carries an upstream's response to an attempt.
type ResponseArrived struct {
	Stamp
	// Attempt is the attempt on whose stream the response arrived. The identifier that the response echoes
	// may differ.
	Attempt  tiller.AttemptID
	Response tiller.SearchResponse
}

// AttemptFailed reports that an attempt ended without a response.
type AttemptFailed struct {
	Stamp
	Attempt tiller.AttemptID
	Verdict tiller.Verdict
	// Reason is one of the attempt reasons, such as ReasonShed or ReasonConnectionLost.
	Reason tiller.Reason
	// RetryAfter is the delay that the upstream asked for; 0 when it gave none.
	RetryAfter tiller.Millis
}

// UpstreamRestarted reports that a connection to the upstream was refused or reset, or that the
// upstream reported a new incarnation.
type UpstreamRestarted struct {
	Stamp
	Upstream string
	// Lost is set when attempts were outstanding on the lost connection.
	Lost bool
}

// LoadReported carries an upstream's own load report, which may be stale or wrong.
type LoadReported struct {
	Stamp
	Upstream string
	// InFlight is the number of running requests that the upstream reports.
	InFlight int
	Draining bool
}

// DocumentApplied carries a configuration document to put in force. It is ignored unless its revision
// is greater than that of the document in force.
type DocumentApplied struct {
	Stamp
	Document *tiller.Document
}

// PeerReply carries the result of a query that was forwarded to a peer.
type PeerReply struct {
	Stamp
	Forward ForwardID
	Result  tiller.Result
}

// PeerFailed reports that a forwarded query got no reply.
type PeerFailed struct {
	Stamp
	Forward ForwardID
	Verdict tiller.Verdict
}

// SeatChanged carries the seat that this process holds from now on; Seat is -1 when it holds none.
type SeatChanged struct {
	Stamp
	Seat        int
	Incarnation int64
}

// LeaseMessage carries a message of the lease protocol from the daemon at the seat From.
type LeaseMessage struct {
	Stamp
	From    int
	Message LeasePayload
}

// FactLearned carries a fact that another daemon announced.
type FactLearned struct {
	Stamp
	Key     string
	Version int64
	Value   []byte
}

// WarmStateReceived carries a WarmState message from the owner of another unit of the same service.
type WarmStateReceived struct {
	Stamp
	From      int
	WarmState WarmState
}

// StopRequested starts a planned stop: the daemon finishes the queries that it has accepted and refuses
// new ones.
type StopRequested struct{ Stamp }

// TimeAdvanced carries only the time. The runner sends it at the time of the last Wake.
type TimeAdvanced struct{ Stamp }
