package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

// Effect is something to be done. The types below are all effects.
type Effect interface{ effect() }

// Send sends the request of a query to an upstream.
type Send struct {
	Query    uint64
	Attempt  uint64
	Upstream cataloger.Upstream
	// Timeout is the time that the upstream is given.
	Timeout tiller.Millis
	// AtMostOnce says that the request must not run twice, so that only a safe connection may be used.
	AtMostOnce bool
}

// SendSubQuery sends a sub-query for some shards of a query to another daemon.
type SendSubQuery struct {
	Query   uint64
	Attempt uint64
	Member  cataloger.Member
	SubQuery
}

// ConfirmSubQuery tells the other daemon that its sub-query was found to be begun in time.
type ConfirmSubQuery struct{ Attempt uint64 }

// PreconnectUpstream opens connections to an upstream, so that first requests do not wait for them.
type PreconnectUpstream struct {
	Upstream    cataloger.Upstream
	Connections int
}

// PreconnectPeer opens a connection to another daemon, so that the first sub-query does not wait for it.
type PreconnectPeer struct{ Member cataloger.Member }

// Cancel ends an attempt after a delay; the upstream notices that its connection closes.
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

// ReplyGathered answers a query with the merged records of the parts.
type ReplyGathered struct {
	Query   uint64
	Stamps  []string
	Missing int
	Records []byte
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
	// RetryAfter says when a new request may be served; 0 gives no hint.
	RetryAfter tiller.Millis
	Decision
}

// Retried says that a further request was sent for a shard, and why.
type Retried struct {
	Query    uint64
	Service  string
	Upstream string
	Reason   tiller.Reason
}

// Decision holds what is logged of a decision that ends a query.
type Decision struct {
	// ID is the client's identifier.
	ID            string
	Route         string
	Configuration int64
	Took          tiller.Millis
	Attempts      int
	Trouble       []Trouble
}

// Trouble is an attempt that did not end in the answer, or a shard that is missing.
type Trouble struct {
	Service  string
	Upstream string
	Reason   tiller.Reason
	// After is the age of the attempt in milliseconds.
	After tiller.Millis
	// Expected is the latency in milliseconds that was expected when it was sent.
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
