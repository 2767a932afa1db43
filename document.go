package carawaytiller

// Document is the operators' configuration of one environment.
type Document struct {
	// Environment is "trial" or "production".
	Environment string
	// Revision increases by one with each accepted change. The daemon that accepts the change sets it.
	Revision int64
	// Seats is the number of daemons that share the ownership of the services.
	Seats     int
	Domains   []Domain
	Upstreams []Upstream
	Services  []Service
	// Moves are the rollouts between upstream versions.
	Moves []Move
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
	// Out is set when operators have taken the failure domain out of service. It receives no new requests.
	Out bool
}

// Upstream is one backend server.
type Upstream struct {
	Name    string
	Address string
	Domain  string
	Version string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Connections is the number of connections that the upstream accepts.
	Connections int
	// ConnectMillis is the time that it takes to open a connection.
	ConnectMillis Millis
	// ColdSlots is the number of concurrent requests that the upstream can handle during a cold start.
	ColdSlots int
	// Leaving is set while the upstream is being removed. It receives no new requests.
	Leaving bool
}

// WaitFor selects when a service's query is answered.
type WaitFor string

// The values of WaitFor.
const (
	// WaitForCoverage waits for every shard until the deadline.
	WaitForCoverage WaitFor = "Coverage"
	// WaitForTail answers when no shard is outstanding, or StragglerMillis after the needed coverage was reached.
	WaitForTail WaitFor = "Tail"
)

// Service is a searchable index divided into shards.
type Service struct {
	Name string
	// Region is the home region; empty means the region that has most of the upstreams.
	Region string
	// Routes are the operations that callers may request.
	Routes []Route
	// Current is the name of the snapshot to which new queries are pinned.
	Current   string
	Snapshots []Snapshot
	WaitFor   WaitFor
	// NeededCoverage is the default minimum fraction of shards, from 0 to 1. A query with less is refused.
	NeededCoverage float64
	// StragglerMillis is how long WaitForTail waits for missing shards after the needed coverage is reached.
	StragglerMillis Millis
	// DeadlineMillis is the longest time that a query may take. Later deadlines of callers are shortened to it.
	DeadlineMillis Millis
	// Limit is the default number of items in an answer.
	Limit int
	// QueueLimit is the maximum number of queries queued in one daemon.
	QueueLimit int
	// HedgePercent is the number of hedged requests allowed per 100 first requests.
	HedgePercent int
	// RetryPercent is the number of retries allowed per 100 first requests.
	RetryPercent int
}

// Route is one operation of a service.
type Route struct {
	Name string
	// Repeatable is set when the operation is idempotent.
	Repeatable bool
	// Single is set when the operation runs on one upstream instead of on every shard.
	Single bool
}

// Snapshot is one version of a service's index, with its shard map.
type Snapshot struct {
	Name   string
	Shards []Shard
}

// Shard is one part of a snapshot and the upstreams that hold a replica of it.
type Shard struct {
	Name      string
	Upstreams []string
}

// Service returns the service with the given name.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Snapshot returns the snapshot with the given name.
func (s Service) Snapshot(name string) (Snapshot, bool) {
	for _, n := range s.Snapshots {
		if n.Name == name {
			return n, true
		}
	}
	return Snapshot{}, false
}

// Route returns the route with the given name.
func (s Service) Route(name string) (Route, bool) {
	for _, r := range s.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}
