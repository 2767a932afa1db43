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

// SearchFunc returns the items of one shard for the JSON body of a query, at most limit of them.
// An error is answered UpstreamError.
type SearchFunc func(service, snapshot, shard, route string, body []byte, limit int) ([]tiller.Item, error)

// UpstreamSettings are the settings of an Upstream.
type UpstreamSettings struct {
	// Name is part of the seed of the random numbers.
	Name string
	// Slots is the number of requests run at once; at least 1.
	Slots int
	// QueueLimit is the number of requests that wait for a slot before others are shed.
	QueueLimit int
	// Connections is the number of connections that can be open at once; 0 means no limit.
	Connections int
	// ConnectMillis is the delay before the first byte of a connection is served.
	ConnectMillis tiller.Millis
	// ColdSlots is the number of requests borne at once in cold start; one more crashes the upstream.
	// 0 means that there is no cold start.
	ColdSlots int
	// ColdRequests is the number of completed requests that ends the cold start; 0 means that they don't end it.
	ColdRequests int
	// ColdMillis is the time that ends the cold start; 0 means that time doesn't end it.
	ColdMillis tiller.Millis
	// RestartMillis is the time after a crash during which connections are refused.
	RestartMillis tiller.Millis
	// ServiceMillis is the time that a request takes when it is no straggler.
	ServiceMillis tiller.Millis
	// Holdings are the shards served at the start.
	Holdings []Holding
	// Search runs a request on one shard; it is required.
	Search SearchFunc
	// Seed is the seed of the random numbers.
	Seed uint64
}

// Upstream is a fake of an upstream. It runs real searches and bears only what its settings say.
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
	// last is the response made for the last request that completed.
	last *upstream.SearchResponse
}

// NewUpstream returns an Upstream, which starts cold. It fails when settings can't be served.
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
// It fails when the address can't be listened on or the upstream was started, crashed or closed before.
func (u *Upstream) Start(address string) (string, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return "", errClosed
	}
	if u.down || u.address != "" {
		return "", errors.New("the upstream is started or down already")
	}
	l, err := listen(address, u.conns)
	if err != nil {
		return "", err
	}
	u.address = l.Addr().String()
	u.server = serve(l, u.conns, u)
	return u.address, nil
}

// Close ends every request and connection and waits for all that runs. It may be called twice.
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

// SetFaults replaces the faults.
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

// Runs returns how often each request identifier started to run on a route.
func (u *Upstream) Runs(route string) map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs.of(route)
}

// Load answers with the load as it was LoadLagMillis ago.
func (u *Upstream) Load(context.Context) (*upstream.Load, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return &upstream.Load{
		InFlight: u.load.at(u.clock.Now() - u.faults.LoadLagMillis),
		Slots:    u.settings.Slots,
		Draining: u.faults.Draining,
	}, nil
}

// Health answers what the upstream says of itself.
func (u *Upstream) Health(context.Context) (*upstream.Health, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return &upstream.Health{
		Healthy:     !u.faults.Unhealthy,
		Draining:    u.faults.Draining,
		Incarnation: u.instance.incarnation,
	}, nil
}

// recordOutstanding counts the requests that run or wait after one arrived, which may have been shed.
// The caller holds the lock.
func (u *Upstream) recordOutstanding(l *instance, accepted bool) {
	n := l.slots.running + len(l.slots.queue)
	if !accepted {
		n++
	}
	u.counts.GreatestOutstanding = max(u.counts.GreatestOutstanding, n)
}

// recordLoad adds the present load to its history. The caller holds the lock.
func (u *Upstream) recordLoad() {
	running := u.instance.slots.running
	u.counts.GreatestInFlight = max(u.counts.GreatestInFlight, running)
	u.load.record(u.clock.Now(), running, u.faults.LoadLagMillis)
}
