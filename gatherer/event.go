package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

// Event is something that happened. The types below are all events.
type Event interface{ event() }

// QueryArrived is a client's request whose header and body were read.
type QueryArrived struct {
	// Query numbers the request within the process.
	Query uint64
	// ID is the client's identifier of the request.
	ID   string
	Host string
	Path string
	// Deadline is the time that the client waits; 0 when it names none.
	Deadline tiller.Millis
	// NewConnection says that the request is the first on its connection.
	NewConnection bool
}

// SubQueryArrived is the request of another daemon for some shards of a query.
type SubQueryArrived struct {
	Query uint64
	// ID is the client's identifier of the request.
	ID string
	SubQuery
}

// QueryAbandoned says that the client or the asking daemon has closed its connection.
type QueryAbandoned struct{ Query uint64 }

// AttemptEnded is the outcome of a request to an upstream.
type AttemptEnded struct {
	Attempt uint64
	// Failure is nil when there is a whole answer.
	Failure *tiller.Failure
	Answer  Answer
}

// SubQueryEnded is the outcome of a sub-query to another daemon.
type SubQueryEnded struct {
	Attempt uint64
	// Failure is nil when there is a reply.
	Failure *tiller.Failure
	Reply   SubReply
}

// SubQueryAccepted says that another daemon has begun a sub-query.
type SubQueryAccepted struct{ Attempt uint64 }

// SubQueryConfirmed says that the asking daemon has not replaced a sub-query, and will count all of
// its attempts.
type SubQueryConfirmed struct{ Query uint64 }

// FleetSettled says that the daemons that start together know each other, so that connections
// are opened ahead of requests.
type FleetSettled struct{}

// StoreRead says that all entries of the store have been read.
type StoreRead struct{}

// ConfigurationChanged brings a configuration into force, unless a newer one is.
type ConfigurationChanged struct{ Configuration *cataloger.Configuration }

// UpstreamChanged is the present entry of an upstream.
type UpstreamChanged struct{ Upstream cataloger.Upstream }

// UpstreamGone says that an upstream has no entry any more.
type UpstreamGone struct{ ID string }

// MembersChanged lists the daemons of the fleet, this one included.
type MembersChanged struct{ Members []cataloger.Member }

// BoundsChanged brings other bounds of the fleet into force.
type BoundsChanged struct{ Bounds cataloger.Bounds }

// DomainEvacuated takes a failure domain out of service, or back into it.
type DomainEvacuated struct {
	Domain string
	Out    bool
}

// TimerFired says that the time asked for by Next has come.
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

// Answer is an upstream's whole answer.
type Answer struct {
	Status int
	// Stamp is the upstream's signature; an answer without one is not an upstream's own.
	Stamp string
	// NotExecuted says that the upstream has not run the request and will not.
	NotExecuted bool
	// Misdirected says that the address belongs to another process now.
	Misdirected bool
	// Encoded says that the body is not the upstream's body as it was asked for.
	Encoded bool
	Body    []byte
	// Waiting is the number of requests that wait at the upstream.
	Waiting int
}

// SubQuery says what a daemon asks another one to gather. It names the shards itself, so that both
// gather the shards of one configuration whatever each has in force. Times are in milliseconds.
type SubQuery struct {
	_      struct{} `cbor:",toarray"`
	Route  string
	Shards []string
	TopK   int
	// Floor is a record; those that are not greater are not in the answer. Empty stands for none.
	Floor []byte
	// Groups is the number of groups that the query's shards are divided into.
	Groups int
	// Attempts is the number of upstreams of each shard that the request may be sent to.
	Attempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Unlikely says that the query probably cannot be answered with enough coverage.
	Unlikely bool
	// Extra says that the asking daemon has sent a first request for the shards already.
	Extra bool
	// Avoid lists upstreams that were asked already.
	Avoid []string
	// Regions are the only regions in which the route may be served; empty allows all.
	Regions []string
	// AllowedMissing is the number of shards without which the whole answer still has enough coverage.
	AllowedMissing int
	// Target is the time after which the reply is due if no more than MaySkip shards are missing.
	Target tiller.Millis
	// Timeout is the time after which no reply is of use.
	Timeout tiller.Millis
}

// SubReply is the reply to a sub-query.
type SubReply struct {
	_       struct{} `cbor:",toarray"`
	Parts   []Part
	Records []byte
	// Missing are the shards without a part.
	Missing []MissingShard
	// Down lists upstreams of the shards that cannot be reached.
	Down []string
	// Took is the time from the arrival of the sub-query to the reply.
	Took tiller.Millis
	// NoCapacity says that the daemon did not take the sub-query; nothing ran.
	NoCapacity bool
}

// Part is the signature of a shard's answer whose records were merged.
type Part struct {
	_            struct{} `cbor:",toarray"`
	Shard, Stamp string
}

// MissingShard says why a shard has no part.
type MissingShard struct {
	_      struct{} `cbor:",toarray"`
	Shard  string
	Reason tiller.Reason
	// Attempts is the number of upstreams that may have run the request.
	Attempts int
	// Asked says that a request was sent, whether it ran or not.
	Asked bool
}
