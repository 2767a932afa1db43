package carawaytiller

// Document is the operators' configuration of one environment.
type Document struct {
	// Environment is "trial" or "production".
	Environment string
	// Revision grows by one with each accepted change. It is set by the daemon that accepts the change.
	Revision int64
	// Seats is the number of daemons among which ownership is divided.
	Seats     int
	Domains   []Domain
	Upstreams []Upstream
	Services  []Service
	// Moves are the shifts of traffic between upstream versions.
	Moves []Move
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
	// Out says that operators have taken the failure domain out; it gets no new work.
	Out bool
}

// Upstream is one back-end server.
type Upstream struct {
	Name    string
	Address string
	Domain  string
	Version string
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Connections is the number of connections that the upstream accepts.
	Connections int
	// ConnectMillis is the cost of a new connection.
	ConnectMillis Millis
	// ColdSlots is the number of requests that the upstream bears in cold start.
	ColdSlots int
	// Leaving says that the upstream is to get no new work.
	Leaving bool
}

// WaitFor says what a service's answers wait for.
type WaitFor string

// The values of WaitFor.
const (
	// WaitForCoverage waits for every shard until the deadline.
	WaitForCoverage WaitFor = "Coverage"
	// WaitForTail answers as soon as the needed coverage is there and stragglers had their time.
	WaitForTail WaitFor = "Tail"
)

// Service is a searchable index divided into shards.
type Service struct {
	Name string
	// Region is the home region; empty means the region of most of the upstreams.
	Region string
	// Routes are the operations that callers may ask for.
	Routes []Route
	// Current names the snapshot that new queries are pinned to.
	Current   string
	Snapshots []Snapshot
	WaitFor   WaitFor
	// NeededCoverage is the default share of shards, from 0 to 1, below which a query is refused.
	NeededCoverage float64
	// StragglerMillis is how long a WaitForTail answer waits for missing shards after the needed coverage is there.
	StragglerMillis Millis
	// DeadlineMillis is the greatest time that a caller may ask for.
	DeadlineMillis Millis
	// Limit is the default number of items in an answer.
	Limit int
	// QueueLimit is the greatest number of queries waiting in one daemon.
	QueueLimit int
	// HedgePercent is the budget of second requests, in 100 first requests.
	HedgePercent int
	// RetryPercent is the budget of retries, in 100 first requests.
	RetryPercent int
}

// Route is one operation of a service.
type Route struct {
	Name string
	// Repeatable says whether the operation is idempotent.
	Repeatable bool
	// Single says that the operation runs on one upstream only and not on every shard.
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

// Service returns the service called name.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Snapshot returns the snapshot called name.
func (s Service) Snapshot(name string) (Snapshot, bool) {
	for _, n := range s.Snapshots {
		if n.Name == name {
			return n, true
		}
	}
	return Snapshot{}, false
}

// Route returns the route called name.
func (s Service) Route(name string) (Route, bool) {
	for _, r := range s.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}
