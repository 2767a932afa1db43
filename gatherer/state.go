package gatherer

import (
	"math/rand/v2"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/balancer"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/hedger"
)

// groupsOf returns the number of groups of the route that a shard belongs to.
func (s *State) groupCountOf(service string) int {
	if s.configuration == nil {
		return 1
	}
	return groupCount(s.configuration.ShardsWith(service))
}

// Settings are fixed for the life of a State.
type Settings struct {
	VM     string
	Domain string
	Region string
	// Power is the processor share of the VM in thousandths of a core; it ranks daemons.
	Power int
	// Incarnation is the time of the start, as in cataloger.Member.
	Incarnation int64
	// Seed starts the random numbers that break ties.
	Seed uint64
	// Bounds are those at the start; BoundsChanged brings others.
	Bounds cataloger.Bounds
}

// State holds what a daemon knows and what it is doing. It changes in place and has one owner.
type State struct {
	settings           Settings
	random             *rand.Rand
	configuration      *cataloger.Configuration
	upstreams          map[string]*upstream
	upstreamsByService map[string][]*upstream
	evacuated          map[string]bool
	peers              map[string]*peer
	peersByRegion      map[string][]*peer
	gatherersByGroup   map[groupKey][]*peer
	fleet              fleet
	queries            map[uint64]*query
	attempts           map[uint64]*attempt
	lastAttemptID      uint64
	settled            bool
	storeRead          bool
	timers             timerHeap
	budgets            map[string]hedger.Budget
	splits             map[string]*serviceSplit
	commonDeadlines    map[string]*commonDeadline
	// missRates holds, by service, how often a shard was missing lately.
	missRates map[string]missRate
	// waiting holds, by service, the shards that wait for room at an upstream.
	queuedShards map[string][]*shard
	latencies    map[latencyKey]*hedger.Latency
	pauses       *balancer.Pauses
	effects      []Effect
}

// upstream is an upstream with what is known of it.
type upstream struct {
	cataloger.Upstream
	stat         *balancer.Stat
	stalls       balancer.Stalls
	cold         coldAllowance
	reachability reachability
	// misdirected says that another process answered at the address.
	misdirected bool
}

// peer is another daemon with what is known of it.
type peer struct {
	cataloger.Member
	stat *balancer.Stat
	// way is the moving average of the time that a sub-query and its reply are on their way.
	rtt float64
	// unreachable says that the daemon gets no sub-queries until a probe reaches it.
	unreachable bool
	probeDelay  tiller.Millis
	// warmed says that a connection was opened to the daemon ahead of sub-queries.
	preconnected bool
	// staleUntil is the time until which the daemon is taken to know too little.
	rejectsUntil tiller.Millis
}

// New returns a State that knows no configuration, no upstreams and no daemons.
func New(s Settings) *State {
	return &State{
		settings:           s,
		random:             rand.New(rand.NewPCG(s.Seed, 1)),
		upstreams:          make(map[string]*upstream),
		upstreamsByService: make(map[string][]*upstream),
		evacuated:          make(map[string]bool),
		peers:              make(map[string]*peer),
		gatherersByGroup:   make(map[groupKey][]*peer),
		queries:            make(map[uint64]*query),
		attempts:           make(map[uint64]*attempt),
		budgets:            make(map[string]hedger.Budget),
		splits:             make(map[string]*serviceSplit),
		commonDeadlines:    make(map[string]*commonDeadline),
		missRates:          make(map[string]missRate),
		queuedShards:       make(map[string][]*shard),
		latencies:          make(map[latencyKey]*hedger.Latency),
		pauses:             balancer.NewPauses(),
	}
}

// Step changes the state by an event and returns the effects, in the order in which they are due.
// now must not go back.
func (s *State) Step(now tiller.Millis, e Event) []Effect {
	s.effects = nil
	switch e := e.(type) {
	case QueryArrived:
		s.admitQuery(now, e)
	case SubQueryArrived:
		s.admitSubQuery(now, e)
	case QueryAbandoned:
		s.cancelQuery(now, e.Query)
	case AttemptEnded:
		s.endAttempt(now, e)
	case SubQueryEnded:
		s.endSubQuery(now, e)
	case SubQueryAccepted:
		s.subQueryAccepted(e)
	case SubQueryConfirmed:
		s.subQueryConfirmed(now, e.Query)
	case PeerProbed:
		s.endProbe(e)
	case FleetSettled:
		s.settleFleet()
	case StoreRead:
		s.storeRead = true
		s.settleIfFleetRuns()
	case ConfigurationChanged:
		s.applyConfiguration(e.Configuration)
		s.preconnectPeers()
	case UpstreamChanged:
		s.updateUpstream(now, e.Upstream)
	case UpstreamGone:
		s.removeUpstream(e.ID)
	case MembersChanged:
		s.updateMembers(now, e.Members)
		s.preconnectPeers()
	case BoundsChanged:
		s.updateBounds(e.Bounds)
	case DomainEvacuated:
		s.evacuate(e)
	case TimerFired:
		s.fireTimers(now)
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Version returns the version of the configuration in force; 0 when there is none.
func (s *State) Version() int64 {
	if s.configuration == nil {
		return 0
	}
	return s.configuration.Version
}

// Configuration returns the configuration in force; nil when there is none.
func (s *State) Configuration() *cataloger.Configuration { return s.configuration }

// adopt brings a configuration into force. An older one than that in force is ignored, because
// the store's answers may cross.
func (s *State) applyConfiguration(c *cataloger.Configuration) {
	if s.configuration != nil && c.Version <= s.configuration.Version {
		return
	}
	s.configuration = c
	for service := range s.missRates {
		if c.ShardsWith(service) == 0 {
			delete(s.missRates, service)
		}
	}
}

func (s *State) updateUpstream(now tiller.Millis, u cataloger.Upstream) {
	known, ok := s.upstreams[u.ID]
	if ok && known.Service == u.Service && known.Address == u.Address && known.Born == u.Born {
		known.misdirected = known.misdirected && known.Upstream.Same(u)
		known.cold.until = coldUntil(now, known.cold.until, known.Cold, u.Cold)
		known.Upstream = u
		return
	}
	if ok {
		s.removeUpstream(u.ID)
	}
	added := &upstream{Upstream: u, stat: balancer.New()}
	added.cold.until = coldUntil(now, 0, 0, u.Cold)
	s.upstreams[u.ID] = added
	s.upstreamsByService[u.Service] = append(s.upstreamsByService[u.Service], added)
	if s.settled {
		s.preconnect(added)
	}
}

func (s *State) removeUpstream(id string) {
	u, ok := s.upstreams[id]
	if !ok {
		return
	}
	delete(s.upstreams, id)
	kept := make([]*upstream, 0, len(s.upstreamsByService[u.Service]))
	for _, other := range s.upstreamsByService[u.Service] {
		if other != u {
			kept = append(kept, other)
		}
	}
	s.upstreamsByService[u.Service] = kept
}

func (s *State) evacuate(e DomainEvacuated) {
	if e.Out {
		s.evacuated[e.Domain] = true
		return
	}
	delete(s.evacuated, e.Domain)
}

// IsReady says whether the daemon can serve: it has read the store, and found a configuration and upstreams.
func (s *State) IsReady() bool {
	return s.storeRead && s.configuration != nil && len(s.upstreams) > 0
}

// UpstreamCount returns the number of upstreams that have an entry.
func (s *State) UpstreamCount() int { return len(s.upstreams) }

// ActiveQueries returns the number of queries that are not answered.
func (s *State) ActiveQueries() int { return len(s.queries) }
