package faker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
)

// SearchFunc returns at most limit items of one shard for the JSON body of a query.
// An error is answered with reason UpstreamError.
type SearchFunc func(service, snapshot, shard, route string, body []byte, limit int) ([]tiller.Item, error)

// UpstreamSettings are the settings of an Upstream.
type UpstreamSettings struct {
	// Name is the name of the upstream. It is part of the random seed.
	Name string
	// Slots is the number of requests that run concurrently; at least 1.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot; further requests are shed.
	QueueLimit int
	// Connections is the maximum number of open connections; 0 means no limit.
	Connections int
	// ConnectMillis is the delay before the first byte of a connection is read.
	ConnectMillis tiller.Millis
	// ColdSlots is the number of requests that may run concurrently during a cold start; one more crashes
	// the upstream. 0 disables the cold start.
	ColdSlots int
	// ColdRequests is the number of completed requests that ends the cold start; 0 means that requests don't end it.
	ColdRequests int
	// ColdMillis is the duration after which the cold start ends; 0 means that time doesn't end it.
	// When ColdRequests and ColdMillis are both 0 there is no cold start.
	ColdMillis tiller.Millis
	// RestartMillis is the time after a crash during which connections are refused.
	RestartMillis tiller.Millis
	// ServiceMillis is the service time of a request that is not a straggler, before faults add to it.
	ServiceMillis tiller.Millis
	// Holdings are the shards served initially.
	Holdings []Holding
	// Search runs a request on one shard; it is required.
	Search SearchFunc
	// Seed is the random seed, combined with Name.
	Seed uint64
}

// Upstream is a fake of an upstream. It runs searches with the Search setting, within the limits of its settings.
type Upstream struct {
	settings UpstreamSettings
	clock    tiller.Clock
	handler  http.Handler
	conns    *connections
	done     chan struct{}
	restarts sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	faults   UpstreamFaults
	catalog  catalog
	instance *instance
	down     bool
	closed   bool
	address  string
	server   *server
	counts   UpstreamCounts
	runs     runRecord
	load     loadHistory
	// last is the response made for the most recently completed request.
	last *upstream.SearchResponse
}

// NewUpstream returns an Upstream that begins with a cold start. It fails when the settings have no slot or
// no search function, or when the generated server can't be created.
func NewUpstream(settings UpstreamSettings, clock tiller.Clock) (*Upstream, error) {
	if settings.Slots < 1 {
		return nil, errors.New("an upstream needs at least 1 slot")
	}
	if settings.Search == nil {
		return nil, errors.New("an upstream needs a search function")
	}
	u := &Upstream{
		settings: settings,
		clock:    clock,
		conns:    newConnections(settings.Connections, settings.ConnectMillis.Duration()),
		done:     make(chan struct{}),
		random:   rand.New(rand.NewPCG(settings.Seed, xxhash.Sum64String(settings.Name))),
		catalog:  newCatalog(settings.Holdings),
		instance: newInstance(settings, 1, clock.Now()),
		runs:     runRecord{routes: map[string]map[string]int{}},
	}
	h, err := upstream.NewServer(u, upstream.WithErrorHandler(searchRequestError))
	if err != nil {
		return nil, errors.Wrap(err, "upstream server")
	}
	u.handler = h
	u.load.record(clock.Now(), 0, 0)
	return u, nil
}

// ServeHTTP serves one request in-process. While the upstream is down it ends with http.ErrAbortHandler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.runningInstance() == nil {
		panic(http.ErrAbortHandler)
	}
	u.handler.ServeHTTP(w, r)
}

// runningInstance returns the running instance, or nil while the upstream is down or closed.
func (u *Upstream) runningInstance() *instance {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down || u.closed {
		return nil
	}
	return u.instance
}

// Start listens on a loopback address such as "127.0.0.1:0" and returns the address in use.
// It fails when it can't listen on the address, or when the upstream was already started, is down or was closed.
func (u *Upstream) Start(address string) (string, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return "", errClosed
	}
	if u.down || u.address != "" {
		return "", errors.New("the upstream was already started or is down after a crash")
	}
	l, err := listen(address, u.conns)
	if err != nil {
		return "", err
	}
	u.address = l.Addr().String()
	u.server = serve(l, u.conns, u)
	return u.address, nil
}

// Close aborts every request, closes every connection, and waits for running handlers and a pending restart.
// It is idempotent.
func (u *Upstream) Close() {
	u.mu.Lock()
	if u.closed {
		u.mu.Unlock()
		return
	}
	u.closed = true
	close(u.done)
	u.instance.end(errClosed)
	u.mu.Unlock()
	u.restarts.Wait()
	u.stopServer()
}

// stopServer closes the server, if there is one.
func (u *Upstream) stopServer() {
	u.mu.Lock()
	s := u.server
	u.server = nil
	u.mu.Unlock()
	if s != nil {
		s.close()
	}
}

// SetFaults replaces the faults. When Silent changes to true it silences the open connections.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	silence := f.Silent && !u.faults.Silent
	u.faults = f.clone()
	u.mu.Unlock()
	if silence {
		u.conns.silence()
	}
}

// Faults returns the faults in force.
func (u *Upstream) Faults() UpstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults.clone()
}

// SetHoldings replaces the snapshots and shards that the upstream serves.
func (u *Upstream) SetHoldings(holdings []Holding) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.catalog = newCatalog(holdings)
}

// Counts returns the counts so far.
func (u *Upstream) Counts() UpstreamCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts := u.counts
	counts.Connections = u.conns.count()
	counts.Incarnation = u.instance.incarnation
	counts.Cold = u.instance.cold.isCold(u.clock.Now())
	if !u.down {
		counts.InFlight = u.instance.slots.running
		counts.Waiting = len(u.instance.slots.queue)
	}
	return counts
}

// Runs returns the number of runs started on route, by request identifier.
func (u *Upstream) Runs(route string) map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs.of(route)
}

// Load returns the load as it was LoadLagMillis ago.
func (u *Upstream) Load(context.Context) (*upstream.Load, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return &upstream.Load{
		InFlight: u.load.at(u.clock.Now() - u.faults.LoadLagMillis),
		Slots:    u.settings.Slots,
		Draining: u.faults.Draining,
	}, nil
}

// Health reports healthy unless the Unhealthy fault is set, whatever the actual state of the upstream.
func (u *Upstream) Health(context.Context) (*upstream.Health, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return &upstream.Health{
		Healthy:     !u.faults.Unhealthy,
		Draining:    u.faults.Draining,
		Incarnation: u.instance.incarnation,
	}, nil
}

// recordOutstanding updates GreatestOutstanding after a request arrived. accepted is false when that request
// was shed; it counts as outstanding, too. The caller holds the lock.
func (u *Upstream) recordOutstanding(l *instance, accepted bool) {
	n := l.slots.running + len(l.slots.queue)
	if !accepted {
		n++
	}
	u.counts.GreatestOutstanding = max(u.counts.GreatestOutstanding, n)
}

// recordLoad adds the current load to the load history. The caller holds the lock.
func (u *Upstream) recordLoad() {
	running := u.instance.slots.running
	u.counts.GreatestInFlight = max(u.counts.GreatestInFlight, running)
	u.load.record(u.clock.Now(), running, u.faults.LoadLagMillis)
}
