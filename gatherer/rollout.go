package gatherer

import (
	"net/http"
	"strconv"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/mover"
)

// This file routes requests while a service moves to a new version of its upstreams. A new version that fails
// must reach few requests, and no daemon alone sees enough of them to judge it. Each daemon therefore sends at
// most its own part of the fleet's canary requests, reports what it saw to a few daemons that add up the
// evidence of all, and stops using the new version as soon as it hears of a fault.

const (
	// contactMillis is the time for which an exchange of evidence allows canary requests. A daemon that is cut
	// off from the others would not hear of a fault.
	contactMillis = 2 * tiller.Second
	// informedMillis is the time for which a report counts. Daemons with nothing new report every quietMillis.
	informedMillis = 4 * tiller.Second
	// heldMillis is the time for which upstreams of a version that appears beside another one wait for an order:
	// upstreams and orders may become known in either order.
	heldMillis = 2 * tiller.Second
	// stoppedMillis is the time after a completed rollout in which entries of stopped upstreams may remain. Later,
	// any other version is a newer one that was started without an order.
	stoppedMillis = 10 * tiller.Second
	// mainRouteShare is the share of a daemon's requests from which a route gets as many canary requests as the
	// others. Faults of a single route are found as soon as those of all routes.
	mainRouteShare = 0.1
)

// rollout is a service's move to a new version, as this daemon knows it.
type rollout struct {
	cataloger.Rollout
	plan  mover.Plan
	state cataloger.RolloutState
	// startedAt is the time at which the first daemon learnt of the order, as far as known. dated is false for
	// a daemon that started during the rollout and was not told yet.
	startedAt tiller.Millis
	dated     bool
	allowance mover.Allowance
	// observed holds what this daemon saw of both versions, comparison what all daemons reported.
	observed   mover.Observations
	comparison *mover.Comparison
	// canaries holds the number of canary requests by route.
	canaries map[string]int
	// reports holds the time of the latest report of each daemon, this one excluded.
	reports map[string]tiller.Millis
	// contactAt is the time of the latest exchange of evidence; 0 before the first.
	contactAt tiller.Millis
	// sawOther is true once the service was seen to have an upstream of another version.
	sawOther bool
	// published is the latest known state in the store.
	published cataloger.RolloutStatus
	// decidedAt is the time at which state became final.
	decidedAt tiller.Millis
	// unannounced is true while a decision of this daemon was not sent to the others.
	unannounced bool
	// publishAt is the earliest time of the next attempt to publish the state.
	publishAt tiller.Millis
}

// RolloutOrdered carries the operators' order to move a service to a new version.
type RolloutOrdered struct {
	Rollout cataloger.Rollout
	// Old is true if the order may be older than this daemon's first read of the store.
	Old bool
}

// RolloutEnded reports that the order of a service's rollout was removed.
type RolloutEnded struct{ Service string }

// RolloutDated tells how long ago a rollout began.
type RolloutDated struct {
	Service  string
	Revision int64
	Age      tiller.Millis
}

// RolloutPublished carries the state of a rollout in the store.
type RolloutPublished struct{ Status cataloger.RolloutStatus }

func (RolloutOrdered) event()   {}
func (RolloutEnded) event()     {}
func (RolloutDated) event()     {}
func (RolloutPublished) event() {}

// PublishRollout writes the state of a rollout to the store, on condition that the state there is still the
// one at Status.Revision.
type PublishRollout struct {
	Status cataloger.RolloutStatus
	// Order is the revision of the order, Age the time since it became known.
	Order int64
	Age   tiller.Millis
}

// RolloutChanged reports a change of state with the evidence that led to it.
type RolloutChanged struct {
	Rollout cataloger.Rollout
	State   cataloger.RolloutState
	// Cause says what decided: an order, the evidence, the deadline, another daemon or the store.
	Cause string
	// Age is the time since the order became known, Reporters the number of daemons in the evidence.
	Age       tiller.Millis
	Reporters int
	Evidence  mover.Summary
	Fault     mover.Fault
	// Sent is the number of requests that this daemon sent to the new version.
	Sent int
}

func (PublishRollout) effect() {}
func (RolloutChanged) effect() {}

// orderRollout starts a rollout, unless it is known already.
func (s *State) orderRollout(now tiller.Millis, e RolloutOrdered) {
	known := s.rollouts[e.Rollout.Service]
	if known != nil && known.Revision >= e.Rollout.Revision {
		return
	}
	bounds := s.settings.Bounds
	slack := s.canarySlack(e.Rollout.Service)
	if e.Old {
		// The part of this daemon may have been used before a restart.
		slack = 0
	}
	offset := float64(s.rankFor(e.Rollout.Service)) / float64(max(s.fleet.size, 1))
	r := &rollout{
		Rollout: e.Rollout, plan: mover.NewPlan(e.Rollout.Duration), startedAt: now, dated: !e.Old,
		allowance: mover.NewAllowance(bounds.CanaryShare*safetyFactor, slack, min(offset, 1)),
		observed:  make(mover.Observations), comparison: mover.NewComparison(), canaries: make(map[string]int),
		reports: make(map[string]tiller.Millis),
	}
	if known != nil {
		r.published = known.published
	}
	s.rollouts[r.Service] = r
	s.emitRolloutChanged(now, r, "Order")
	s.scheduleBackground(now)
}

// regularSlackShare is the part of the canary slack for the daemons that regularly send to a service. All others
// share the rest.
const regularSlackShare = 0.75

// canarySlack returns this daemon's part of the canary slack. In a large fleet only the gatherers of a shard send
// requests to it regularly.
func (s *State) canarySlack(service string) float64 {
	slack := s.settings.Bounds.CanarySlack
	if !s.isGrouped(service) {
		return s.fleet.share(slack)
	}
	domains := make(map[string]bool)
	for _, u := range s.upstreamsByService[service] {
		domains[u.Domain] = true
	}
	regular := min(max(gatherersPerGroup*len(domains), 1), max(s.fleet.size, 1))
	if domains[s.settings.Domain] && s.isGatherer(service, s.groupCountOf(service)) {
		return regularSlackShare * safetyFactor * slack / float64(regular)
	}
	return (1 - regularSlackShare) * safetyFactor * slack / float64(max(s.fleet.size-regular, 1))
}

func (s *State) emitRolloutChanged(now tiller.Millis, r *rollout, cause string) {
	s.emit(RolloutChanged{
		Rollout: r.Rollout, State: r.state, Cause: cause, Age: now - r.startedAt, Reporters: len(r.reports) + 1,
		Evidence: r.comparison.Summary(), Fault: r.comparison.Fault(), Sent: r.allowance.Sent(),
	})
}

// endRollout forgets a rollout whose order was removed. A version that was rolled back stays barred.
func (s *State) endRollout(service string) {
	if r := s.rollouts[service]; r != nil && r.state != cataloger.RolloutRolledBack {
		delete(s.rollouts, service)
	}
}

// dateRollout sets the start of a rollout that began before this daemon started, by the clock of another one.
func (s *State) dateRollout(now tiller.Millis, e RolloutDated) {
	if r := s.rollouts[e.Service]; r != nil && r.Revision == e.Revision && !r.dated && e.Age >= 0 {
		r.dated, r.startedAt = true, now-e.Age
	}
}

// adoptAge corrects the start of a rollout by a daemon that learnt of it earlier. Times since the start are
// measured by steady clocks, which stand still in a frozen daemon, so the greatest age is right.
func (r *rollout) adoptAge(now, age tiller.Millis) {
	if age >= 0 && (!r.dated || now-age < r.startedAt) {
		r.dated, r.startedAt = true, now-age
	}
}

// publishedRollout applies the state of a rollout in the store. A final state there is binding, whatever this
// daemon has found.
func (s *State) publishedRollout(now tiller.Millis, status cataloger.RolloutStatus) {
	r := s.rollouts[status.Service]
	if r == nil {
		if status.State != cataloger.RolloutRolledBack {
			return
		}
		r = &rollout{
			Rollout:    cataloger.Rollout{Service: status.Service, Target: status.Target},
			comparison: mover.NewComparison(), startedAt: now,
		}
		s.rollouts[status.Service] = r
	}
	if status.Revision < r.published.Revision {
		return
	}
	r.published = status
	if status.State.IsFinal() && r.state != status.State && r.isPublished(status.State) {
		s.setRolloutState(now, r, status.State, "Store")
	}
}

// isPublished reports whether the store holds a state for this rollout and not for an earlier one.
func (r *rollout) isPublished(state cataloger.RolloutState) bool {
	return r.published.State == state && r.published.Target == r.Target && r.published.Revision > r.Revision
}

func (s *State) setRolloutState(now tiller.Millis, r *rollout, state cataloger.RolloutState, cause string) {
	r.state = state
	if state.IsFinal() {
		r.decidedAt = now
	}
	s.emitRolloutChanged(now, r, cause)
	s.scheduleBackground(now)
}

// allowsVersion reports whether the version of an upstream may get a request. canary is true for a request that
// is meant for the new version of a rollout.
func (s *State) allowsVersion(now tiller.Millis, u *upstream, canary bool) bool {
	r := s.rollouts[u.Service]
	if r == nil {
		return now >= u.heldUntil
	}
	isNew := u.Version == r.Target
	r.sawOther = r.sawOther || !isNew
	switch {
	case r.state == cataloger.RolloutRolledBack:
		return !isNew
	case r.state == cataloger.RolloutCompleted:
		return isNew || now >= r.decidedAt+stoppedMillis || !s.hasVersion(r.Service, r.Target)
	case isNew && !s.hasOther(r):
		return true
	}
	return isNew == canary
}

// hasVersion reports whether a service has an upstream of a version.
func (s *State) hasVersion(service, version string) bool {
	for _, u := range s.upstreamsByService[service] {
		if u.Version == version {
			return true
		}
	}
	return false
}

// hasOther reports whether the service has or had upstreams of another version than the new one. An order for
// a version that already serves alone restricts nothing.
func (s *State) hasOther(r *rollout) bool {
	for _, u := range s.upstreamsByService[r.Service] {
		r.sawOther = r.sawOther || u.Version != r.Target
	}
	return r.sawOther
}

// wantsCanary reports whether the next request of a shard is to go to the new version of its service. Retries
// and hedges go to the old one.
func (s *State) wantsCanary(now tiller.Millis, sh *shard) bool {
	r := s.rollouts[sh.service]
	if r == nil || r.state.IsFinal() || sh.tries > 0 || !r.dated {
		return false
	}
	if len(s.peers) > 0 && now-r.contactAt >= contactMillis {
		return false
	}
	return r.allowance.Admits(r.released(now)) && (r.state == cataloger.RolloutSwitching || !r.isAhead(sh.query.route.Name))
}

// released returns the part of the slack that may be used now.
func (r *rollout) released(now tiller.Millis) float64 { return r.plan.ReleasedSlack(now - r.startedAt) }

// isAhead reports whether a route has had more than about twice as many canary requests as another main route of
// the service.
func (r *rollout) isAhead(name string) bool {
	total := int64(0)
	for _, o := range r.observed {
		total += o.Old.Requests
	}
	for other, o := range r.observed {
		if float64(o.Old.Requests) >= mainRouteShare*float64(total) && r.canaries[name] > 2*r.canaries[other]+1 {
			return true
		}
	}
	return false
}

// coldReleaseShare is the part of the released slack that cold upstreams of a new version may use. Their
// latency says nothing, so most canary requests wait until they are warm.
const coldReleaseShare = 0.3

// admitsCanary reports whether an upstream of a new version may get a canary request now.
func (s *State) admitsCanary(now tiller.Millis, u *upstream) bool {
	r := s.rollouts[u.Service]
	return now >= u.cold.until || r == nil || r.state.IsFinal() || r.allowance.Admits(coldReleaseShare*r.released(now))
}

// holdVersion delays the use of an upstream whose version differs from that of its service's other upstreams.
func (s *State) holdVersion(now tiller.Millis, u *upstream) {
	if !s.storeRead || s.rollouts[u.Service] != nil {
		return
	}
	for _, other := range s.upstreamsByService[u.Service] {
		if other != u && other.Version != u.Version && now >= other.heldUntil {
			u.heldUntil = now + heldMillis
			return
		}
	}
}

// countRequest counts a request on a route against the daemon's part of the canary requests.
func (s *State) countRequest(u *upstream, route string) {
	r := s.rollouts[u.Service]
	if r == nil || r.state.IsFinal() {
		return
	}
	isNew := u.Version == r.Target
	r.allowance = r.allowance.WithRequest(isNew)
	if isNew {
		r.canaries[route]++
	}
}

// recordVersion adds the outcome of a request to what this daemon saw of a rollout. Requests that did not run
// say nothing. A request that was cancelled or timed out, here or at the upstream, took at least as long as it was
// waited for. The latency
// of an upstream that is cold or in another region depends on more than its version.
func (s *State) recordVersion(now tiller.Millis, a *attempt, e AttemptEnded) {
	r := s.rollouts[a.upstream.Service]
	if r == nil || r.state.IsFinal() {
		return
	}
	route := r.observed[a.query.route.Name]
	version := &route.Old
	if a.upstream.Version == r.Target {
		version = &route.New
	}
	verdict, reason := classify(a.query, e)
	switch {
	case reason == tiller.ReasonCancelled && float64(now-a.sent) < s.expectedLatency(now, a.upstream, a.query):
		return
	case reason == tiller.ReasonCancelled || reason == tiller.ReasonTimeout || e.Answer.Status == http.StatusGatewayTimeout:
		*version = version.WithLatency(now - a.sent)
	case verdict == tiller.NotRun:
		return
	case reason != "" || e.Answer.Status >= http.StatusInternalServerError:
		*version = version.WithFailure()
	case a.sent < a.upstream.cold.until || a.upstream.Region != s.settings.Region:
		*version = version.WithSuccess()
	default:
		*version = version.WithLatency(now - a.sent)
	}
	r.observed[a.query.route.Name] = route
}

// judgeRollout adds this daemon's evidence and decides the rollout when its time has come. A fault decides at
// once. Only a daemon that hears from most of the fleet decides that a version is good, or that there is too
// little evidence.
func (s *State) judgeRollout(now tiller.Millis, r *rollout) {
	if r.state.IsFinal() {
		return
	}
	before := r.state
	fault := r.comparison.Update(s.process(), r.observed)
	elapsed := now - r.startedAt - s.decisionDelay()
	switch {
	case fault.Cause != mover.NoFault:
		s.setRolloutState(now, r, cataloger.RolloutRolledBack, "Fault")
	case !r.dated:
	case elapsed >= r.plan.GiveUpAt:
		s.setRolloutState(now, r, cataloger.RolloutRolledBack, "Undecided")
	case !s.isInformed(now, r) || elapsed < r.plan.SwitchAt:
	case elapsed >= r.plan.CompleteAt && r.state == cataloger.RolloutSwitching && !r.comparison.Fails():
		s.setRolloutState(now, r, cataloger.RolloutCompleted, "Deadline")
	case elapsed >= r.plan.CompleteAt && !r.comparison.Confirmed():
		s.setRolloutState(now, r, cataloger.RolloutRolledBack, "TooLittleEvidence")
	case elapsed >= r.plan.CompleteAt:
		s.setRolloutState(now, r, cataloger.RolloutCompleted, "Deadline")
	case r.state == cataloger.RolloutRunning && r.comparison.Confirmed():
		s.setRolloutState(now, r, cataloger.RolloutSwitching, "Evidence")
	}
	r.unannounced = r.unannounced || r.state != before
}

// decisionDelayMillis is the time by which each further collector decides later, so that one of them usually
// decides for all.
const decisionDelayMillis = 100

// decisionDelay returns the time by which this daemon decides later than the first one: the collectors of the
// regions in turn, then all others.
func (s *State) decisionDelay() tiller.Millis {
	rank, regions := 0, 1
	for region := range s.peersByRegion {
		if region == s.settings.Region {
			continue
		}
		regions++
		if region < s.settings.Region {
			rank++
		}
	}
	if !s.isCollector() {
		rank = regions
	}
	return decisionDelayMillis * tiller.Millis(rank)
}

// isInformed reports whether more than half of the fleet has reported its evidence lately.
func (s *State) isInformed(now tiller.Millis, r *rollout) bool {
	known := 1
	for _, at := range r.reports {
		if now-at < informedMillis {
			known++
		}
	}
	return 2*known > len(s.peers)+1
}

// process identifies this daemon's process in the evidence. A restarted daemon counts from zero.
func (s *State) process() string { return processOf(s.settings.VM, s.settings.Incarnation) }

func processOf(vm string, incarnation int64) string {
	return vm + "/" + strconv.FormatInt(incarnation, 10)
}
