package gatherer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// Minimum shares of all requests, and of each kind of request, that operators require to be served in time on
// a day of high load.
const (
	minServedShare     = 0.437
	minKindServedShare = 0.42
)

// requireRetryBudget checks the extra requests that arrive at each service against the operators' retry
// budget, in every window of budgetWindowMillis that starts with an arrival.
func (sim *simulation) requireRetryBudget() {
	for service, arrivals := range sim.arrivals {
		first := make(map[string]bool)
		extra := make([]bool, len(arrivals))
		for i, a := range arrivals {
			extra[i] = first[a.id]
			first[a.id] = true
		}
		for i := range arrivals {
			extras, firsts := 0, 0
			for j := i; j < len(arrivals) && arrivals[j].at < arrivals[i].at+budgetWindowMillis; j++ {
				if extra[j] {
					extras++
				} else {
					firsts++
				}
			}
			require.LessOrEqual(sim.t, float64(extras), retryRatio*float64(firsts)+retrySlack, "%s from %d", service, arrivals[i].at)
		}
	}
}

// requireAttemptLimit checks that no request ran on more than limit upstreams of a service.
func (sim *simulation) requireAttemptLimit(limit int) {
	for service, arrivals := range sim.arrivals {
		ran := make(map[string]map[string]bool)
		for _, a := range arrivals {
			if !a.ran {
				continue
			}
			if ran[a.id] == nil {
				ran[a.id] = make(map[string]bool)
			}
			ran[a.id][a.upstream] = true
			require.LessOrEqual(sim.t, len(ran[a.id]), limit, "%s of %s", a.id, service)
		}
	}
}

// outcomeShare returns the share of queries whose outcome satisfies f.
func (sim *simulation) outcomeShare(f func(*outcome) bool) float64 {
	n := 0
	for _, o := range sim.outcomes {
		if f(o) {
			n++
		}
	}
	return float64(n) / float64(len(sim.outcomes))
}

func isInTime(o *outcome) bool { return o.parts >= 18 && o.latency <= 200 }

func isCompleteInTime(o *outcome) bool { return isInTime(o) && o.missing == 0 }

// Pauses of single upstreams must not determine the latency of queries. 57 of 100 queries meet a pause, so
// without hedging fewer than half would be complete in time.
func TestPausesAreHedged(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 1)
	sim.pauseUpstreams(6000)
	sim.scheduleLoad(21000, 90, "/q/1")
	sim.runUntil(24000)
	require.GreaterOrEqual(t, sim.outcomeShare(isInTime), 0.99)
	require.GreaterOrEqual(t, sim.outcomeShare(isCompleteInTime), 0.9)
	sim.requireRetryBudget()
	sim.requireAttemptLimit(2)
}

// About 80 % of the upstreams are healthy but shed 60 % of their requests. When another daemon returns no
// result for a shard, the next request for the shard must not count as a first request, which the fleet's
// retry budget does not limit.
func TestSheddingStaysWithinRetryBudget(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 2)
	for _, s := range sim.sortedUpstreams() {
		if sim.random.Float64() < 0.8 {
			s.shedRate = 0.6
		}
	}
	sim.scheduleLoad(21000, 90, "/q/1")
	sim.runUntil(24000)
	sim.requireRetryBudget()
	sim.requireAttemptLimit(2)
}

// Connections are reset after the request has run. A daemon must count such a request as an attempt, also
// when another daemon sent the request on its behalf.
func TestResetsStayWithinAttemptLimit(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 3)
	for _, s := range sim.sortedUpstreams() {
		s.resetRate = 0.3
	}
	sim.scheduleLoad(11000, 90, "/q/1")
	sim.runUntil(14000)
	sim.requireAttemptLimit(2)
	sim.requireRetryBudget()
}

// Daemons crash while they gather for others. The requests that they may have sent must count as attempts,
// and the remaining daemons must keep serving.
func TestCrashedDaemonsStayWithinAttemptLimit(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 4)
	sim.addThirdUpstreams(0)
	sim.pauseUpstreams(3000)
	sim.scheduleLoad(11000, 90, "/q/1")
	for i := range 6 {
		sim.schedule(tiller.Millis(3000+1000*i), func() { sim.crash(sim.daemons[i]) })
	}
	sim.runUntil(14000)
	sim.requireAttemptLimit(2)
	sim.requireRetryBudget()
	lost := 0
	for _, o := range sim.outcomes {
		// Queries to crashed daemons get no answer in the simulation.
		if o.latency > 0 && !isInTime(o) {
			lost++
		}
	}
	require.LessOrEqual(t, float64(lost), 0.1*float64(len(sim.outcomes)))
}

// Messages between daemons are delayed. A sub-query is then replaced although the other daemon has started
// it, and that daemon receives the cancellation late. Both daemons together must stay within the route's
// attempt limit.
func TestDelayedMessagesStayWithinAttemptLimit(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 13)
	sim.pauseUpstreams(3000)
	sim.addThirdUpstreams(0)
	for _, d := range sim.daemons {
		d.maxExtraDelay = 200
	}
	sim.scheduleLoad(21000, 90, "/q/1")
	sim.runUntil(24000)
	sim.requireAttemptLimit(2)
	sim.requireRetryBudget()
}

// Two of a shard's three upstreams lose 40 % of the answers after running the request. A shard has two
// attempts, so most queries reach their coverage only if the second one goes to the reliable upstream.
func TestLastAttemptPrefersReliableUpstream(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 17)
	sim.addThirdUpstreams(2)
	for i := range shardCount {
		sim.upstreams[fmt.Sprintf("u-%d-0", i)].resetRate = 0.4
		sim.upstreams[fmt.Sprintf("u-%d-1", i)].resetRate = 0.4
	}
	sim.scheduleLoad(11000, 45, "/q/1")
	sim.runUntil(14000)
	sim.requireAttemptLimit(2)
	sim.requireRetryBudget()
	require.GreaterOrEqual(t, sim.outcomeShare(isInTime), 0.9)
}

// Upstreams stop answering. After one second, few queries may still wait for them.
func TestSilentUpstreamsAreAvoided(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 5)
	for i := range 8 {
		sim.upstreams[fmt.Sprintf("u-%d-0", i)].silent = true
	}
	sim.scheduleLoad(2000, 90, "/q/1")
	sim.runUntil(2000)
	sim.outcomes = make(map[string]*outcome)
	sim.scheduleLoad(12000, 90, "/q/1")
	sim.runUntil(14000)
	require.GreaterOrEqual(t, sim.outcomeShare(isInTime), 0.97)
	sim.requireRetryBudget()
}

// Slow upstreams must get few requests once their latency has been measured, although they are healthy.
func TestSlowUpstreamsAreAvoided(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 6)
	slow := make(map[string]bool)
	for i := range 6 {
		id := fmt.Sprintf("u-%d-1", i*3)
		sim.upstreams[id].serviceTime, slow[id] = 110, true
	}
	sim.scheduleLoad(12000, 90, "/q/1")
	sim.runUntil(14000)
	late := 0
	for id := range slow {
		for _, at := range sim.upstreams[id].requestTimes {
			if at > 3000 {
				late++
			}
		}
	}
	// Without avoidance, each of the six slow upstreams would get 45 requests/s for 9 s.
	require.Less(t, late, 6*45*9/4)
	require.GreaterOrEqual(t, sim.outcomeShare(isInTime), 0.97)
}

// When too many shards have no upstream, a query must be refused as not run immediately, instead of being
// held until its deadline.
func TestQueryWithoutCoverageIsRefusedImmediately(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 7)
	for i := range 3 {
		sim.broadcast(gatherer.UpstreamGone{ID: fmt.Sprintf("u-%d-0", i)})
		sim.broadcast(gatherer.UpstreamGone{ID: fmt.Sprintf("u-%d-1", i)})
	}
	id := sim.sendQuery(sim.daemons[0], "/q/1")
	o := sim.outcomes[id]
	require.NotNil(t, o.refusal)
	require.Equal(t, tiller.NotRun, o.refusal.Verdict)
	require.Equal(t, tiller.ReasonCoverageTooLow, o.refusal.Reason)
	require.Positive(t, o.refusal.RetryAfter)
	sim.runUntil(5000)
	require.Empty(t, sim.arrivals)
}

// All daemons together must not exceed the request rate that operators allow for a cold upstream.
func TestColdUpstreamRateLimit(t *testing.T) {
	t.Parallel()
	for _, warmup := range []float64{0, 20} {
		sim := newSimulation(t, 8)
		services := []cataloger.Service{{Name: shardName(0), MaxConnections: 26, WarmupPerSecond: warmup}}
		sim.broadcast(gatherer.ConfigurationChanged{Configuration: cataloger.New(2, cataloger.Limits{}, []cataloger.Route{sim.gatherRoute()}, services)})
		for j := range 2 {
			s := sim.upstreams[fmt.Sprintf("u-0-%d", j)]
			s.Cold = 8000
			sim.broadcast(gatherer.UpstreamChanged{Upstream: s.Upstream})
		}
		sim.scheduleLoad(9000, 90, "/q/1")
		sim.runUntil(9000)
		for j := range 2 {
			requests := sim.upstreams[fmt.Sprintf("u-0-%d", j)].requestTimes
			for i := range requests {
				n := 0
				for _, at := range requests[i:] {
					if at < requests[i]+1000 {
						n++
					}
				}
				require.LessOrEqual(t, float64(n), warmup*coldOverage+coldSlack)
			}
		}
	}
}

// When operators lower the retry budget while upstreams fail, the number of extra requests must drop
// immediately, also from daemons that have accumulated unused budget.
func TestLoweredRetryBudgetAppliesImmediately(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 9)
	sim.scheduleLoad(6000, 90, "/q/1")
	sim.runUntil(6000)
	sim.arrivals = make(map[string][]arrival)
	sim.broadcast(gatherer.BoundsChanged{Bounds: cataloger.Bounds{RetryRatio: 0.02, RetrySlack: 9, ColdOverage: coldOverage, ColdSlack: coldSlack}})
	for _, s := range sim.sortedUpstreams() {
		s.shedRate = 0.6
	}
	sim.scheduleLoad(12000, 90, "/q/1")
	sim.runUntil(14000)
	for service, arrivals := range sim.arrivals {
		first := make(map[string]bool)
		for _, a := range arrivals {
			first[a.id] = true
		}
		// Each of nine daemons may have accumulated budget for one request.
		require.LessOrEqual(t, len(arrivals)-len(first), 9+int(0.02*float64(len(first)))+1, service)
	}
}

// Three shards have one silent upstream, and their other upstream takes six times as long, so that it has
// capacity for a quarter of the requests. A query tolerates two missing shards. The queries that capacity
// allows must be served in time: if requests waited in a long queue at the slow upstream, all of them would
// be late.
func TestOverloadedShardsServeUpToCapacity(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 10)
	sim.scheduleLoad(4000, 90, "/q/1")
	sim.runUntil(4000)
	for i := range 3 {
		sim.upstreams[fmt.Sprintf("u-%d-0", 4*i)].silent = true
		sim.upstreams[fmt.Sprintf("u-%d-1", 4*i)].serviceTime = 70
	}
	sim.scheduleLoad(6000, 90, "/q/1")
	sim.runUntil(6000)
	sim.outcomes = make(map[string]*outcome)
	sim.scheduleLoad(16000, 90, "/q/1")
	sim.runUntil(18000)
	require.GreaterOrEqual(t, sim.outcomeShare(isInTime), minServedShare)
	sim.requireRetryBudget()
	sim.requireAttemptLimit(2)
}

// Six shards lack capacity: one of their upstreams is silent and the other one slow. Queries of a route that
// tolerates two missing shards mostly fail. Queries of a route that tolerates five need only one of the six
// shards, and must get its capacity although the priority of their route is lower.
func TestFailingRouteYieldsCapacity(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 11)
	check := sim.gatherRoute()
	check.Name, check.Prefix, check.MinCoverage, check.Priority = "check", "/c/", 0.75, 2
	sim.configure(2, sim.gatherRoute(), check)
	for i := range 6 {
		sim.upstreams[fmt.Sprintf("u-%d-0", 3*i)].silent = true
		sim.upstreams[fmt.Sprintf("u-%d-1", 3*i)].serviceTime = 60
	}
	sim.scheduleLoad(4000, 70, "/q/1")
	sim.runUntil(4000)
	sim.outcomes = make(map[string]*outcome)
	sim.scheduleLoad(10000, 70, "/q/1")
	sim.runUntil(10000)
	sim.outcomes = make(map[string]*outcome)
	sim.scheduleLoad(16000, 70, "/q/1")
	sim.scheduleLoad(16000, 20, "/c/1")
	sim.runUntil(18000)
	checks := make(map[string]*outcome)
	for id, o := range sim.outcomes {
		if o.path == "/c/1" {
			checks[id] = o
		}
	}
	sim.outcomes = checks
	served := sim.outcomeShare(func(o *outcome) bool { return o.parts >= 15 && o.latency <= 200 })
	require.GreaterOrEqual(t, served, minKindServedShare)
	sim.requireRetryBudget()
	sim.requireAttemptLimit(2)
}

// Shards that have recovered must be used again soon, even when every query that needs them is refused.
func TestRecoveredShardsAreUsedAgain(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 12)
	for i := range 6 {
		for j := range 2 {
			sim.upstreams[fmt.Sprintf("u-%d-%d", 3*i, j)].silent = true
		}
	}
	sim.scheduleLoad(5000, 70, "/q/1")
	sim.runUntil(5000)
	for _, s := range sim.sortedUpstreams() {
		s.silent = false
	}
	sim.scheduleLoad(8000, 70, "/q/1")
	sim.runUntil(8000)
	sim.outcomes = make(map[string]*outcome)
	sim.scheduleLoad(12000, 70, "/q/1")
	sim.runUntil(14000)
	require.GreaterOrEqual(t, sim.outcomeShare(isInTime), 0.99)
}
