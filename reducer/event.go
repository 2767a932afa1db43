package reducer

import tiller "github.com/carawaytiller/carawaytiller"

// Event is something that happened to a daemon. Every event carries the time at which it was handled.
type Event interface {
	// At returns the time of the event.
	At() tiller.Millis
}

// Stamp is the time of an event and a random number for the decisions that follow from it.
type Stamp struct {
	Now    tiller.Millis
	Random uint64
}

// At returns the time of the event.
func (s Stamp) At() tiller.Millis { return s.Now }

// QueryArrived says that a query reached this daemon, from a caller or forwarded by a peer.
type QueryArrived struct {
	Stamp
	Query tiller.Query
	// From is the seat that forwarded the query, or LocalCaller.
	From int
	// Redirects counts the daemons that have passed the query on.
	Redirects int
	// Ref identifies the waiting caller or stream within the runner; the Reply carries it back.
	Ref uint64
}

// LocalCaller marks a query that came from a caller and not from a peer.
const LocalCaller = -1

// CallerGone says that the caller of a query went away.
type CallerGone struct {
	Stamp
	Caller string
	ID     tiller.RequestID
	// Ref is that of the QueryArrived. When it is not 0, only the query that arrived with it is meant,
	// so that the end of a duplicate does not cancel the first.
	Ref uint64
}

// TokenRequested says that a caller asks for a single-use token.
type TokenRequested struct {
	Stamp
	// Ref identifies the waiting caller within the runner.
	Ref uint64
}

// ResponseArrived carries an upstream's response to an attempt.
type ResponseArrived struct {
	Stamp
	// Attempt is the attempt on whose stream the response came, whatever the response echoes.
	Attempt  tiller.AttemptID
	Response tiller.SearchResponse
}

// AttemptFailed says that an attempt ended without a response.
type AttemptFailed struct {
	Stamp
	Attempt tiller.AttemptID
	Verdict tiller.Verdict
	// Reason is one of the attempt reasons, such as ReasonShed or ReasonConnectionLost.
	Reason tiller.Reason
	// RetryAfter is the upstream's hint; 0 when it gave none.
	RetryAfter tiller.Millis
}

// UpstreamRestarted says that a connection to the upstream was refused or reset, or that
// it reported a new incarnation.
type UpstreamRestarted struct {
	Stamp
	Upstream string
	// Lost says that attempts were outstanding on the lost connection.
	Lost bool
}

// LoadReported carries an upstream's own load report. It may lag or mislead.
type LoadReported struct {
	Stamp
	Upstream string
	// InFlight is the number of requests that the upstream says it runs.
	InFlight int
	Draining bool
}

// DocumentApplied carries the configuration that is in force from now on.
// A document with a lower revision than the one in force is ignored.
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

// PeerFailed says that a forwarded query got no reply.
type PeerFailed struct {
	Stamp
	Forward ForwardID
	Verdict tiller.Verdict
}

// SeatChanged says that this process holds a seat.
type SeatChanged struct {
	Stamp
	Seat        int
	Incarnation int64
}

// LeaseMessage carries a message of the lease protocol from the seat From.
type LeaseMessage struct {
	Stamp
	From    int
	Message LeasePayload
}

// FactLearned carries a fact that another daemon has announced.
type FactLearned struct {
	Stamp
	Key     string
	Version int64
	Value   []byte
}

// WarmStateReceived carries what the owner of another unit of the same service knows of upstreams
// of which that unit has the cold allowance.
type WarmStateReceived struct {
	Stamp
	From      int
	WarmState WarmState
}

// StopRequested says that this daemon is to stop as planned: it finishes what it accepted.
type StopRequested struct{ Stamp }

// TimeAdvanced says only that time has passed. The runner sends it at the time of the last Wake.
type TimeAdvanced struct{ Stamp }
