package reducer

import (
	"math"
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/hedger"
	"github.com/carawaytiller/carawaytiller/queuer"
	"github.com/carawaytiller/carawaytiller/router"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// budgetBurst is the maximum number of extra requests that a budget can accumulate. It covers the retries
// after the loss of one upstream at a fan-out of several hundred.
const budgetBurst = 100

// initialRetries is the number of retries that a new owner may send before its first requests have added any
// to the budget.
const initialRetries = 3

// unit is a unit of ownership: a service, or one part of a service that is divided among several owners.
type unit struct {
	id tracker.UnitID
	// service is the service in the document in force; nil when the document does not have the unit.
	service *service
	// lastOwner is the last peer that answered a query of the unit; -1 when there is none.
	lastOwner int
	// awaitingOwner are the queries that wait until the owner is known.
	awaitingOwner querySet

	// holding is the result of Config.Holding at the leaseVersion holdingVersion.
	holding        tracker.Holding
	holdingVersion uint64
	dirty          bool
	// wasSending is the value of maySend when the unit was last processed.
	wasSending     bool
	leaseTimer     timer
	warmStateTimer timer

	// work is nil until this daemon accepts a query for the unit as its owner.
	*work
}

// work is the owner's state for a unit: its members, queue, budgets and measurements.
type work struct {
	members map[string]*member
	// memberList holds the members in the order in which they were added.
	memberList  []*member
	plans       map[string]*plan
	singlePlans map[string]*plan
	queue       *queuer.Queue
	// parked is the number of queries that wait for the canary of another query.
	parked int
	// running is the number of queries pinned to a snapshot.
	running int
	// pending are the running queries with shards that wait for an upstream.
	pending querySet
	// readyMembers are the members that may serve waiting queries at the end of the step.
	readyMembers []*member
	// openMembers and membersWithRoom count the members that are open and those that admit requests.
	openMembers     int
	membersWithRoom int
	// detached are the running queries whose waiting shards must be placed again, because an upstream that they
	// waited for gets no new attempts.
	detached     querySet
	latencies    map[string]*routeLatency
	queueRate    queueRate
	hedgeBudget  hedger.Budget
	retryBudget  hedger.Budget
	lastStartTag int64
	// rollout is the latest rollout of the service; nil when the document has none.
	rollout *rollout
	// leaseReleased is set when the lease was released during a planned stop.
	leaseReleased bool
}

// routeLatency holds the response times of one route: those of attempts, and those of queries from the pinning
// of the snapshot to the complete answer.
type routeLatency struct {
	attempts *hedger.Latency
	queries  *hedger.Latency
}

// latencyOf returns the response times of a route, and adds the route if necessary.
func (w *work) latencyOf(route string) *routeLatency {
	m, ok := w.latencies[route]
	if !ok {
		m = &routeLatency{attempts: hedger.NewLatency(), queries: hedger.NewLatency()}
		w.latencies[route] = m
	}
	return m
}

// unit returns the unit with the given identifier, and adds it if necessary.
func (s *State) unit(id tracker.UnitID, sv *service) *unit {
	u, ok := s.units[id]
	if !ok {
		u = &unit{id: id, service: sv, lastOwner: unknownSeat, awaitingOwner: querySet{kind: querySetAwaitingOwner}}
		u.leaseTimer = timer{kind: timerLease, unit: u}
		u.warmStateTimer = timer{kind: timerWarmState, unit: u}
		s.units[id] = u
	}
	return u
}

// initWork creates the owner's state of a unit, if it does not exist yet.
func (s *State) initWork(u *unit) {
	if u.work != nil {
		return
	}
	spec := u.service.spec
	u.work = &work{
		members:     make(map[string]*member),
		pending:     querySet{kind: querySetPending},
		detached:    querySet{kind: querySetDetached},
		queue:       queuer.New(0),
		latencies:   make(map[string]*routeLatency),
		hedgeBudget: hedger.NewBudget(spec.HedgePercent, budgetBurst),
		retryBudget: hedger.NewBudget(spec.RetryPercent, budgetBurst).WithSpent(-initialRetries),
	}
	s.unitsWithWork = append(s.unitsWithWork, u)
	s.updateUnit(u)
}

// updateUnit applies the document in force to the members and settings of a unit.
func (s *State) updateUnit(u *unit) {
	u.plans, u.singlePlans = make(map[string]*plan), make(map[string]*plan)
	wanted := make(map[string]struct{})
	if u.service != nil {
		u.hedgeBudget = u.hedgeBudget.WithPercent(u.service.spec.HedgePercent)
		u.retryBudget = u.retryBudget.WithPercent(u.service.spec.RetryPercent)
		for _, spec := range u.service.upstreams {
			wanted[spec.Name] = struct{}{}
			s.setQuota(s.member(u, spec.Name), spec)
		}
	}
	s.updateQueueLimit(u)
	s.updateRollout(u)
	for _, m := range slices.Clone(u.memberList) {
		_, ok := wanted[m.upstream.spec.Name]
		m.removed = !ok
		s.refresh(m)
		if !m.isOpen() {
			s.detachWaiters(m)
		}
		if !ok && m.isIdle() {
			s.removeMember(m)
		}
	}
}

// removeMember removes a member that the document no longer has. Queries pinned to a plan with the member keep it.
func (s *State) removeMember(m *member) {
	delete(m.unit.members, m.upstream.spec.Name)
	m.unit.memberList = slices.DeleteFunc(m.unit.memberList, func(other *member) bool { return other == m })
	s.disarm(&m.resumeTimer)
	s.disarm(&m.quotaTimer)
	up := m.upstream
	up.members = slices.DeleteFunc(up.members, func(other *member) bool { return other == m })
	s.prune(up.spec.Name, up)
}

// updateQueueLimit sets the unit's share of the service's queue limit, less the number of parked queries.
func (s *State) updateQueueLimit(u *unit) {
	limit := 0
	if u.service != nil {
		limit = orDefault(u.service.spec.QueueLimit, defaultQueueLimit)
		limit = (limit + u.service.owners - 1) / u.service.owners
	}
	u.queue.SetLimit(max(limit-u.parked, 0))
}

// holding returns the state of this daemon's lease of a unit. The result of Config.Holding is cached until
// leaseVersion changes.
func (s *State) holding(u *unit) tracker.Holding {
	if s.cfg.Holding == nil {
		return tracker.Holding{Owned: true, ValidUntil: noLeaseEnd, Owner: s.seat}
	}
	if u.holdingVersion != s.leaseVersion {
		u.holding = s.cfg.Holding(s.now, u.id)
		u.holdingVersion = s.leaseVersion
	}
	return u.holding
}

// owns reports whether this daemon accepts queries for a unit.
func (s *State) owns(u *unit) bool {
	h := s.holding(u)
	return h.Owned && s.now < h.ValidUntil && u.service != nil
}

// maySend reports whether this daemon may send attempts for a unit.
func (s *State) maySend(u *unit) bool {
	h := s.holding(u)
	return h.Owned && s.now >= h.StartAt && s.now < h.ValidUntil
}

// markDirty marks a unit to be processed at the end of the step.
func (s *State) markDirty(u *unit) {
	if !u.dirty {
		u.dirty = true
		s.dirtyUnits = append(s.dirtyUnits, u)
	}
}

// processDirtyUnits assigns capacity that has become available to waiting shards and queued queries.
func (s *State) processDirtyUnits() {
	for i := 0; i < len(s.dirtyUnits); i++ {
		u := s.dirtyUnits[i]
		u.dirty = false
		if u.work != nil {
			s.processUnit(u)
		}
	}
	s.dirtyUnits = s.dirtyUnits[:0]
}

func (s *State) processUnit(u *unit) {
	if !s.owns(u) {
		s.handOver(u)
	}
	maySend := s.maySend(u)
	if maySend && !u.wasSending {
		s.markAllReady(u)
		s.requestWarmStates(u)
	}
	s.placeDetached(u)
	u.wasSending = maySend
	s.armLeaseTimer(u)
	if !maySend {
		s.clearReady(u)
		return
	}
	for i := 0; i < len(u.readyMembers); i++ {
		u.readyMembers[i].ready = false
		s.serveWaiters(u.readyMembers[i])
	}
	u.readyMembers = u.readyMembers[:0]
	s.dispatch(u)
}

func (s *State) markAllReady(u *unit) {
	for _, m := range u.memberList {
		if len(m.waiters) > 0 {
			s.markReady(m)
		}
	}
}

func (s *State) clearReady(u *unit) {
	for _, m := range u.readyMembers {
		m.ready = false
	}
	u.readyMembers = u.readyMembers[:0]
}

// armLeaseTimer arms the timer for the begin or end of a unit's lease while queries of the unit wait.
func (s *State) armLeaseTimer(u *unit) {
	h := s.holding(u)
	switch {
	case u.queue.Len() == 0 && u.pending.len() == 0:
		s.disarm(&u.leaseTimer)
	case h.Owned && s.now < h.StartAt:
		s.arm(&u.leaseTimer, h.StartAt)
	case h.Owned && s.now < h.ValidUntil && h.ValidUntil < noLeaseEnd:
		s.arm(&u.leaseTimer, h.ValidUntil)
	}
}

// queueRate measures the rate at which the queue is served. It is an immutable value.
type queueRate struct {
	// millis and cost are exponentially decaying sums over the latest dispatches.
	millis       float64
	cost         float64
	lastDispatch tiller.Millis
	busy         bool
}

// queueRateDecay is the factor by which the sums decay at each dispatch, so that about the last 50 dispatches count.
const queueRateDecay = 0.98

// withDispatch returns p after a query of the given cost left the queue. The time since the last dispatch counts
// only if a query has waited since then, and at most up to longest: a longer gap is an outage, which
// does not indicate the rate after it.
func (p queueRate) withDispatch(now tiller.Millis, cost int, waiting bool, longest tiller.Millis) queueRate {
	if p.busy {
		p.millis = p.millis*queueRateDecay + float64(min(now-p.lastDispatch, longest))
		p.cost = p.cost*queueRateDecay + float64(cost)
	}
	p.lastDispatch = now
	p.busy = waiting
	return p
}

// estimateWait returns the expected time to serve the given cost; 0 when nothing has been measured.
func (p queueRate) estimateWait(cost int) tiller.Millis {
	if p.cost == 0 {
		return 0
	}
	return tiller.Millis(math.Ceil(p.millis / p.cost * float64(cost)))
}

// unitOf returns the unit of a service to which a request belongs.
func (s *State) unitOf(sv *service, id tiller.RequestID) *unit {
	index := router.UnitOf(id, sv.owners)
	return s.unit(tracker.UnitID{Service: sv.spec.Name, Index: index}, sv)
}
