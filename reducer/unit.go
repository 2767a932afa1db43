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

// budgetBurst is the number of extra requests that a budget can hold. It covers the retries after
// the loss of one upstream at a fan-out of several hundred.
const budgetBurst = 100

// firstRetries is the number of retries that a new owner may send before it has earned any.
const initialRetries = 3

// unit is a unit of ownership: the queue, the limits and the measurements of its work at this daemon.
type unit struct {
	id tracker.UnitID
	// service is that of the document in force; nil when the document does not have it.
	service *service
	// owner is the seat that is known to have answered for the unit; -1 when none is.
	lastOwner int
	// seeking are the queries that wait until the owner is known.
	awaitingOwner querySet

	holding        tracker.Holding
	holdingVersion uint64
	dirty          bool
	wasSending     bool
	leaseTimer     timer
	warmStateTimer timer

	// work is nil until the unit has had work here as its owner.
	*work
}

// work is what an owner keeps for a unit.
type work struct {
	members map[string]*member
	// list holds the members in the order in which they were added.
	memberList  []*member
	plans       map[string]*plan
	singlePlans map[string]*plan
	queue       *queuer.Queue
	// parked is the number of queries that wait for a canary.
	parked int
	// running is the number of queries with a pinned snapshot.
	running int
	// pending are the running queries with shards that wait for an upstream.
	pending         querySet
	readyMembers    []*member
	openMembers     int
	membersWithRoom int
	// stranded are the running queries whose waiting shards may have lost their last upstream.
	detached     querySet
	latencies    map[string]*routeLatency
	queueRate    queueRate
	hedgeBudget  hedger.Budget
	retryBudget  hedger.Budget
	lastStartTag int64
	// rollout is the latest rollout of the service; nil when the document has none.
	rollout *rollout
	// released says that the lease was given back while the daemon stops.
	leaseReleased bool
}

// measure holds the response times of one route: that of attempts, and that of queries
// from the pinning to the complete answer.
type routeLatency struct {
	attempts *hedger.Latency
	queries  *hedger.Latency
}

// measure returns the measurements of a route, which it begins when there are none.
func (w *work) latencyOf(route string) *routeLatency {
	m, ok := w.latencies[route]
	if !ok {
		m = &routeLatency{attempts: hedger.NewLatency(), queries: hedger.NewLatency()}
		w.latencies[route] = m
	}
	return m
}

// unit returns the unit with the given name, which it adds when it is new.
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

// open prepares a unit for work as its owner.
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

// adopt brings the members and settings of a unit in line with the document in force.
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

// forget removes a member that the document no longer has. Queries pinned to a plan with it keep it.
func (s *State) removeMember(m *member) {
	delete(m.unit.members, m.upstream.spec.Name)
	m.unit.memberList = slices.DeleteFunc(m.unit.memberList, func(other *member) bool { return other == m })
	s.disarm(&m.resumeTimer)
	s.disarm(&m.quotaTimer)
	up := m.upstream
	up.members = slices.DeleteFunc(up.members, func(other *member) bool { return other == m })
	s.prune(up.spec.Name, up)
}

// limitQueue divides the service's queue among its units; parked queries take places in it.
func (s *State) updateQueueLimit(u *unit) {
	limit := 0
	if u.service != nil {
		limit = orDefault(u.service.spec.QueueLimit, defaultQueueLimit)
		limit = (limit + u.service.owners - 1) / u.service.owners
	}
	u.queue.SetLimit(max(limit-u.parked, 0))
}

// holds returns what this daemon may do with a unit.
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

// owns says whether this daemon takes queries for a unit.
func (s *State) owns(u *unit) bool {
	h := s.holding(u)
	return h.Owned && s.now < h.ValidUntil && u.service != nil
}

// maySend says whether this daemon may send to the upstreams of a unit.
func (s *State) maySend(u *unit) bool {
	h := s.holding(u)
	return h.Owned && s.now >= h.StartAt && s.now < h.ValidUntil
}

// touch has a unit looked at again at the end of the step.
func (s *State) markDirty(u *unit) {
	if !u.dirty {
		u.dirty = true
		s.dirtyUnits = append(s.dirtyUnits, u)
	}
}

// settle gives freed upstreams to waiting shards, and waiting queries to free upstreams.
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
	may := s.maySend(u)
	if may && !u.wasSending {
		s.markAllReady(u)
		s.requestWarmStates(u)
	}
	s.placeDetached(u)
	u.wasSending = may
	s.armLeaseTimer(u)
	if !may {
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

// watchLease has the unit looked at when its lease begins or ends, while something waits.
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

// pace measures how fast the queue is served. It is replaced as a whole.
type queueRate struct {
	// millis and cost are sums over the latest dispatches, with falling weight.
	millis       float64
	cost         float64
	lastDispatch tiller.Millis
	busy         bool
}

// paceKept is the weight of the past at each dispatch: about the last 50 count.
const queueRateDecay = 0.98

// withDispatch returns p after a query of the given cost left the queue. Only the time during which something
// waited counts, and of that no more than longest: a longer gap is an outage, which says nothing
// of the pace after it.
func (p queueRate) withDispatch(now tiller.Millis, cost int, waiting bool, longest tiller.Millis) queueRate {
	if p.busy {
		p.millis = p.millis*queueRateDecay + float64(min(now-p.lastDispatch, longest))
		p.cost = p.cost*queueRateDecay + float64(cost)
	}
	p.lastDispatch = now
	p.busy = waiting
	return p
}

// wait returns the time after which the given cost has been served; 0 when nothing is known.
func (p queueRate) estimateWait(cost int) tiller.Millis {
	if p.cost == 0 {
		return 0
	}
	return tiller.Millis(math.Ceil(p.millis / p.cost * float64(cost)))
}

// unitOf returns the unit of a service that takes a request.
func (s *State) unitOf(sv *service, id tiller.RequestID) *unit {
	index := router.UnitOf(id, sv.owners)
	return s.unit(tracker.UnitID{Service: sv.spec.Name, Index: index}, sv)
}
