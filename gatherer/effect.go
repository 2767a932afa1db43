package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

// Effect is an action that Step requests from its caller.
type Effect interface{ effect() }

// Send sends the request of a query to an upstream.
type Send struct {
	Query    uint64
	Attempt  uint64
	Upstream cataloger.Upstream
	// Timeout is the time within which the upstream must answer.
	Timeout tiller.Millis
	// AtMostOnce is true if the request must not run twice. It may then only use a connection that was not idle
	// for long: the upstream may close an older one, and it would not be known whether the request ran.
	AtMostOnce bool
}

// SendSubQuery sends a sub-query for some shards of a query to another daemon.
type SendSubQuery struct {
	Query   uint64
	Attempt uint64
	Member  cataloger.Member
	SubQuery
}

// ConfirmSubQuery tells the other daemon that its acceptance of a sub-query was received in time.
type ConfirmSubQuery struct{ Attempt uint64 }

// PreconnectUpstream opens connections to an upstream so that first requests do not wait for them.
type PreconnectUpstream struct {
	Upstream    cataloger.Upstream
	Connections int
}

// PreconnectPeer opens a connection to another daemon so that the first sub-query does not wait for it.
type PreconnectPeer struct{ Member cataloger.Member }

// Cancel cancels an attempt after a delay by closing its connection, which the upstream notices.
type Cancel struct {
	Attempt uint64
	After   tiller.Millis
}

// ReplyPassthrough answers a query with the answer of an attempt, unchanged.
type ReplyPassthrough struct {
	Query   uint64
	Attempt uint64
	Decision
}

// ReplyGathered answers a query with the merged records of the answered shards.
type ReplyGathered struct {
	Query   uint64
	Stamps  []string
	Missing int
	Records []byte
	// Due is the time from which the answer was sent although shards were missing.
	Due tiller.Millis
	Decision
}

// ReplySub answers a sub-query.
type ReplySub struct {
	Query uint64
	Reply SubReply
	Decision
}

// Refuse answers a query with a failure.
type Refuse struct {
	Query   uint64
	Verdict tiller.Verdict
	Reason  tiller.Reason
	// RetryAfter is the time after which a new request may succeed, or 0 for no hint.
	RetryAfter tiller.Millis
	Decision
}

// Retried reports that a further request was sent for a shard, and why.
type Retried struct {
	Query    uint64
	Service  string
	Upstream string
	Reason   tiller.Reason
}

// Decision holds the fields that are logged when a query ends.
type Decision struct {
	// ID is the client's request identifier.
	ID    string
	Route string
	// Configuration is the version of the configuration in force when the query arrived.
	Configuration int64
	Took          tiller.Millis
	Attempts      int
	Trouble       []Trouble
}

// Trouble describes an attempt that did not lead to the answer, or a shard that is missing.
type Trouble struct {
	Service  string
	Upstream string
	Reason   tiller.Reason
	// After is the time in milliseconds from sending the attempt to its failure.
	After tiller.Millis
	// Expected is the latency in milliseconds that was expected when the attempt was sent.
	Expected tiller.Millis
}

func (Send) effect()               {}
func (SendSubQuery) effect()       {}
func (ConfirmSubQuery) effect()    {}
func (PreconnectUpstream) effect() {}
func (PreconnectPeer) effect()     {}
func (Cancel) effect()             {}
func (ReplyPassthrough) effect()   {}
func (ReplyGathered) effect()      {}
func (ReplySub) effect()           {}
func (Refuse) effect()             {}
func (Retried) effect()            {}
