package gatherer

import (
	"math/rand/v2"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/balancer"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/hedger"
	"github.com/carawaytiller/carawaytiller/quarantiner"
)

// groupCountOf returns the number of groups that the shards of the service's route are divided into.
func (s *State) groupCountOf(service string) int {
	if s.configuration == nil {
		return 1
	}
	return groupCount(s.configuration.ShardCount(service))
}

// Settings are the fixed parameters of a State.
type Settings struct {
	VM     string
	Domain string
	Region string
	// Power is the processor share of the VM in thousandths of a core. Gatherers are chosen by it.
	Power int
	// Incarnation is the start time of this daemon, as in cataloger.Member.
	Incarnation int64
	// Seed seeds the random numbers that vary costs and the starting points of weighted splits.
	Seed uint64
	// Bounds are the fleet-wide bounds at the start. BoundsChanged replaces them.
	Bounds cataloger.Bounds
}

// State holds what a daemon knows and the queries in progress. It is modified in place and must not be
// used concurrently.
type State struct {
	settings           Settings
	random             *rand.Rand
	configuration      *cataloger.Configuration
	upstreams          map[string]*upstream
	upstreamsByService map[string][]*upstream
	// evacuated holds the failure domains that are out of service.
	evacuated     map[string]bool
	peers         map[string]*peer
	peersByRegion map[string][]*peer
	// gatherersByGroup caches the result of gatherers until the members change.
	gatherersByGroup map[groupKey][]*peer
	fleet            fleet
	queries          map[uint64]*query
	attempts         map[uint64]*attempt
	lastAttemptID    uint64
	settled          bool
	storeRead        bool
	timers           timerHeap
	// budgets holds the retry budgets by service; splits and commonDeadlines are by route.
	budgets         map[string]hedger.Budget
	splits          map[string]*serviceSplit
	commonDeadlines map[string]*commonDeadline
	// missRates holds, by service, how often its shard was recently missing from answers.
	missRates map[string]missRate
	// queuedShards holds, by service, the shards that wait for capacity at an upstream.
	queuedShards map[string][]*shard
	// rollouts holds the moves to new versions by service.
	rollouts map[string]*rollout
	// harmful holds the requests that crash upstreams. unclear holds, by upstream, the lost connections of which
	// it is not known whether the upstream crashed.
	harmful *quarantiner.Table
	unclear map[string]*unclearLoss
	// reportSuspects is true if requests became suspect since the last report, announceBlocked if any became
	// blocked.
	reportSuspects, announceBlocked bool
	// reportedAt is the time of the latest report, reportedRequests the number of requests in it.
	reportedAt       tiller.Millis
	reportedRequests int64
	// heardReport is true once another daemon has told this one what it knows.
	heardReport bool
	// backgroundAt is the time of the next work that belongs to no query; 0 if none is due.
	backgroundAt tiller.Millis
	latencies    map[latencyKey]*hedger.Latency
	pauses       *balancer.PausePredictor
	// stopBy is the time by which all queries must have been answered, because the process ends; 0 if it does not.
	stopBy tiller.Millis
	// lateness is how late gathered answers were written recently.
	lateness lateness
	// contacts holds, by failure domain, the requests that it did not answer since its last answer. peerContact is
	// the same for all other daemons together; nil if the last one asked has answered.
	contacts map[string]*contact
	// trialAt is the time from which one query may use failure domains that are cut off.
	trialAt     tiller.Millis
	peerContact *contact
	effects     []Effect
}

// upstream is a known upstream and its measured state.
type upstream struct {
	cataloger.Upstream
	stat         *balancer.Stat
	stalls       balancer.PauseHistory
	cold         coldAllowance
	reachability reachability
	limit        requestLimit
	// preconnected is true if connections to the upstream were opened ahead of requests.
	preconnected bool
	// leaving is true if the upstream's process said that it is about to end.
	leaving bool
	// pausedUntil is the time until which the upstream wants no requests from this daemon.
	pausedUntil tiller.Millis
	// misdirected is true if another process answered at the upstream's address.
	misdirected bool
	// heldUntil is the time until which the upstream's version waits for an order to roll it out.
	heldUntil tiller.Millis
}

// peer is another daemon and its measured state.
type peer struct {
	cataloger.Member
	stat *balancer.Stat
	// rtt is the moving average, in milliseconds, of the network time of a sub-query and its reply.
	rtt float64
	// unreachable is true if the daemon gets no sub-queries until a probe reaches it.
	unreachable bool
	probeDelay  tiller.Millis
	// preconnected is true if a connection to the daemon was opened ahead of sub-queries.
	preconnected bool
	// rejectsUntil is the time until which the daemon gets no sub-queries, because it rejected one, for example
	// for a shard that it does not know.
	rejectsUntil tiller.Millis
	// reportsFrom is the time from which the daemon gets reports again, because it did not answer one.
	reportsFrom tiller.Millis
	// missedReport is true if the daemon did not answer a report, which is then sent again.
	missedReport bool
}

// New returns a State without a configuration, upstreams or other daemons.
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
		rollouts:           make(map[string]*rollout),
		harmful:            quarantiner.New(0),
		unclear:            make(map[string]*unclearLoss),
		latencies:          make(map[latencyKey]*hedger.Latency),
		pauses:             balancer.NewPausePredictor(),
		contacts:           make(map[string]*contact),
	}
}

// Step applies an event to the state and returns the effects, in the order in which the caller must
// carry them out. now must not decrease between calls.
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
	case SubQueryPart:
		s.receivePart(now, e)
	case SubQueryAccepted:
		s.subQueryAccepted(now, e)
	case SubQueryConfirmed:
		s.subQueryConfirmed(now, e.Query)
	case PeerProbed:
		s.endProbe(now, e)
	case FleetSettled:
		s.settleFleet()
	case StoreRead:
		s.storeRead = true
		s.settleIfFleetRuns()
		s.scheduleBackground(now)
	case ConfigurationChanged:
		s.applyConfiguration(e.Configuration)
		s.preconnectUpstreams()
		s.preconnectPeers()
	case UpstreamChanged:
		s.updateUpstream(now, e.Upstream)
	case UpstreamGone:
		s.removeUpstream(e.ID)
	case MembersChanged:
		s.updateMembers(now, e.Members)
		s.preconnectUpstreams()
		s.preconnectPeers()
	case BoundsChanged:
		s.updateBounds(e.Bounds)
	case DomainEvacuated:
		s.evacuate(e)
	case RolloutOrdered:
		s.orderRollout(now, e)
	case RolloutEnded:
		s.endRollout(e.Service)
	case RolloutDated:
		s.dateRollout(now, e)
	case RolloutPublished:
		s.publishedRollout(now, e.Status)
	case UpstreamProbed:
		s.endUpstreamProbe(now, e)
	case Stopping:
		s.stop(now, e.By)
	case AnswerWritten:
		s.recordWritten(now, e)
	case ReportReceived:
		s.receiveReport(now, e.Report)
	case ReportLost:
		s.loseReport(now, e.VM)
	case TimerFired:
		s.fireTimers(now)
		s.runBackground(now)
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Version returns the version of the configuration in force, or 0 if there is none.
func (s *State) Version() int64 {
	if s.configuration == nil {
		return 0
	}
	return s.configuration.Version
}

// Configuration returns the configuration in force, or nil if there is none.
func (s *State) Configuration() *cataloger.Configuration { return s.configuration }

// applyConfiguration brings a configuration into force. It ignores one that is not newer than the one in
// force, because responses from the store may arrive out of order.
func (s *State) applyConfiguration(c *cataloger.Configuration) {
	if s.configuration != nil && c.Version <= s.configuration.Version {
		return
	}
	s.configuration = c
	for service := range s.missRates {
		if c.ShardCount(service) == 0 {
			delete(s.missRates, service)
		}
	}
}

// updateUpstream stores the entry of an upstream. An upstream whose service, address or process changed starts
// without measurements.
func (s *State) updateUpstream(now tiller.Millis, u cataloger.Upstream) {
	current, ok := s.upstreams[u.ID]
	if ok && current.Service == u.Service && current.Address == u.Address && current.Incarnation == u.Incarnation {
		current.misdirected = current.misdirected && current.Upstream.Equal(u)
		current.cold.until = coldUntil(now, current.cold.until, current.Cold, u.Cold)
		if current.Version != u.Version {
			s.holdVersion(now, current)
		}
		current.Upstream = u
		return
	}
	if ok {
		s.removeUpstream(u.ID)
	}
	added := &upstream{Upstream: u, stat: balancer.New()}
	added.cold.until = coldUntil(now, 0, 0, u.Cold)
	s.holdVersion(now, added)
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

// IsReady reports whether the daemon can serve: it has read the whole store and knows a configuration and
// at least one upstream, and it is not cut off.
func (s *State) IsReady(now tiller.Millis) bool {
	return s.storeRead && s.configuration != nil && len(s.upstreams) > 0 && !s.isCutOff(now)
}

// UpstreamCount returns the number of upstreams that have an entry in the store.
func (s *State) UpstreamCount() int { return len(s.upstreams) }

// ActiveQueries returns the number of queries that are not answered yet.
func (s *State) ActiveQueries() int { return len(s.queries) }
