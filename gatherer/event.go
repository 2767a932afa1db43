package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

// Event is an input to Step.
type Event interface{ event() }

// QueryArrived reports a client request whose header and body have been read.
type QueryArrived struct {
	// Query identifies the request within the process.
	Query uint64
	// ID is the client's request identifier.
	ID string
	// Digest is the same for all attempts of a request, and differs between requests.
	Digest uint64
	Host   string
	Path   string
	// Deadline is the time that the client waits for an answer, or 0 if it sent no deadline.
	Deadline tiller.Millis
	// NewConnection is true if the request is the first on its connection.
	NewConnection bool
}

// SubQueryArrived reports a request from another daemon for some shards of a query.
type SubQueryArrived struct {
	Query uint64
	// ID is the client's request identifier.
	ID string
	// Digest is the one of the client's request.
	Digest uint64
	// InParts is true if the requesting daemon accepts a reply in parts.
	InParts bool
	SubQuery
}

// QueryAbandoned reports that the client or the requesting daemon has closed its connection.
type QueryAbandoned struct{ Query uint64 }

// AttemptEnded reports the outcome of a request to an upstream.
type AttemptEnded struct {
	Attempt uint64
	// Failure is nil if the complete answer was received.
	Failure *tiller.Failure
	Answer  Answer
}

// SubQueryEnded reports the outcome of a sub-query to another daemon.
type SubQueryEnded struct {
	Attempt uint64
	// Failure is nil if a reply was received.
	Failure *tiller.Failure
	Reply   SubReply
}

// SubQueryAccepted reports that another daemon has started a sub-query.
type SubQueryAccepted struct{ Attempt uint64 }

// SubQueryConfirmed reports that the requesting daemon has not replaced a sub-query and accounts for all of
// its attempts.
type SubQueryConfirmed struct{ Query uint64 }

// FleetSettled reports that daemons that started together have had time to discover each other. Connections
// are opened ahead of requests from then on.
type FleetSettled struct{}

// StoreRead reports that all entries of the store have been read.
type StoreRead struct{}

// ConfigurationChanged brings a configuration into force unless a newer one already is.
type ConfigurationChanged struct{ Configuration *cataloger.Configuration }

// UpstreamChanged carries the current store entry of an upstream.
type UpstreamChanged struct{ Upstream cataloger.Upstream }

// UpstreamGone reports that the store entry of an upstream was removed.
type UpstreamGone struct{ ID string }

// MembersChanged lists the daemons of the fleet, including this one.
type MembersChanged struct{ Members []cataloger.Member }

// BoundsChanged replaces the fleet-wide bounds.
type BoundsChanged struct{ Bounds cataloger.Bounds }

// DomainEvacuated takes a failure domain out of service or, if Out is false, back into service.
type DomainEvacuated struct {
	Domain string
	Out    bool
}

// TimerFired reports that the time returned by NextTimer has come.
type TimerFired struct{}

func (QueryArrived) event()         {}
func (SubQueryArrived) event()      {}
func (QueryAbandoned) event()       {}
func (AttemptEnded) event()         {}
func (SubQueryEnded) event()        {}
func (SubQueryAccepted) event()     {}
func (SubQueryConfirmed) event()    {}
func (FleetSettled) event()         {}
func (StoreRead) event()            {}
func (ConfigurationChanged) event() {}
func (UpstreamChanged) event()      {}
func (UpstreamGone) event()         {}
func (MembersChanged) event()       {}
func (BoundsChanged) event()        {}
func (DomainEvacuated) event()      {}
func (TimerFired) event()           {}

// Answer is the complete answer of an upstream.
type Answer struct {
	Status int
	// Stamp is the upstream's signature. An answer without it did not come from the upstream itself.
	Stamp string
	// NotExecuted is true if the upstream has not run the request and will not run it.
	NotExecuted bool
	// UnprovenRejection is true if the status would tell a client that the request has not run, but the upstream does
	// not state this.
	UnprovenRejection bool
	// Anonymous is true if the answer does not name the request that it belongs to.
	Anonymous bool
	// Misdirected is true if the address now belongs to another process.
	Misdirected bool
	// Encoded is true if the body has a content encoding, which was not asked for.
	Encoded bool
	Body    []byte
	// Waiting is the number of requests queued at the upstream.
	Waiting int
	// Limited is true if the upstream named the requests that it takes from all daemons together, LimitPerSecond.
	Limited        bool
	LimitPerSecond float64
	// Leaving is true if the upstream is about to end.
	Leaving bool
	// Pause is the time for which the upstream wants no requests from this daemon; 0 if it named none.
	Pause tiller.Millis
}

// SubQuery is a request to another daemon to gather some shards. It lists the shards by name, so that both
// daemons use the shards of the same configuration even if they have different ones in force. Times are in
// milliseconds.
type SubQuery struct {
	_      struct{} `cbor:",toarray"`
	Route  string
	Shards []string
	TopK   int
	// Threshold is a record. Only greater records are returned; an empty Threshold returns all.
	Threshold []byte
	// Groups is the number of groups that all shards of the query are divided into.
	Groups int
	// Attempts is the maximum number of upstreams to send the request for each shard to.
	Attempts int
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Unlikely is true if the query probably cannot reach its required coverage.
	Unlikely bool
	// Extra is true if the requesting daemon has already sent a first request for the shards. The sub-query is
	// then not credited to the retry budget and not handed to further daemons.
	Extra bool
	// Avoid lists upstreams that the request was already sent to.
	Avoid []string
	// Regions are the only regions in which the route may be served; empty allows all regions.
	Regions []string
	// AllowedMissing is the number of shards that may be missing while the whole answer still has its
	// required coverage.
	AllowedMissing int
	// Target is the time after which the reply is due, provided that at most AllowedMissing shards are missing.
	Target tiller.Millis
	// Timeout is the time after which a reply is useless.
	Timeout tiller.Millis
}

// SubReply is the reply to a sub-query.
type SubReply struct {
	_       struct{} `cbor:",toarray"`
	Parts   []Part
	Records []byte
	// Missing lists the shards without a part.
	Missing []MissingShard
	// Down lists the upstreams of the shards in the daemon's region that it cannot reach or that have no room for
	// its requests.
	Down []string
	// Took is the time from the arrival of the sub-query to the reply.
	Took tiller.Millis
	// Leaving lists the upstreams of the shards that said that they are leaving. It is sent outside the encoding of
	// the reply, which daemons of earlier versions read.
	Leaving []Incarnation `cbor:"-"`
	// NoCapacity is true if the daemon rejected the sub-query, for example because it does not know a shard. No
	// request was sent.
	NoCapacity bool
}

// Incarnation identifies one process of an upstream.
type Incarnation struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Born int64
}

// Part identifies an answered shard, whose records were merged, and the signature of its answer.
type Part struct {
	_            struct{} `cbor:",toarray"`
	Shard, Stamp string
}

// MissingShard gives the reason why a shard has no part.
type MissingShard struct {
	_      struct{} `cbor:",toarray"`
	Shard  string
	Reason tiller.Reason
	// Attempts is the number of upstreams that may have run the request or may still run it.
	Attempts int
	// Asked is true if a request may have arrived at an upstream, whether it ran or not.
	Asked bool
}
