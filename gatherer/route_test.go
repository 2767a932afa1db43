package gatherer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

func weightedRoute(repeatable bool, services ...cataloger.Weighted) cataloger.Route {
	return cataloger.Route{
		Name: "fetch", Host: "h", Prefix: "/f/", Repeatable: repeatable, Timeout: 1000, Target: 400, Attempts: 2, Services: services,
	}
}

// A request that must not run twice may be sent again only after an upstream has reported that it did not run
// it. The request may be refused as not run only when that is certain.
func TestNonRepeatableRequestRunsOnce(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.configure(2, weightedRoute(false, cataloger.Weighted{Service: shardName(0), Weight: 1}))
	for _, s := range sim.sortedUpstreams() {
		s.resetRate, s.shedRate = 0.3, 0.3
		s.pauseInterval, s.pauseLength = 2000, 1200
	}
	sim.scheduleLoad(11000, 50, "/f/1")
	sim.runUntil(14000)
	ran := make(map[string]int)
	for _, a := range sim.arrivals[shardName(0)] {
		if a.ran {
			ran[a.id]++
			require.Equal(t, 1, ran[a.id], "%s ran twice", a.id)
		}
	}
	refused := 0
	for id, o := range sim.outcomes {
		if o.refusal != nil && o.refusal.Verdict == tiller.NotRun {
			refused++
			require.Zero(t, ran[id], "%s was refused as not run", id)
		}
	}
	require.NotZero(t, refused)
}

// Requests must be divided among services in proportion to the weights, across the fleet.
func TestSplitFollowsWeights(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.configure(2, weightedRoute(true, cataloger.Weighted{Service: shardName(0), Weight: 3}, cataloger.Weighted{Service: shardName(1), Weight: 1}))
	sim.scheduleLoad(9000, 50, "/f/1")
	sim.runUntil(11000)
	first, second := len(sim.arrivals[shardName(0)]), len(sim.arrivals[shardName(1)])
	require.InDelta(t, 0.75, float64(first)/float64(first+second), 0.03)
}

// An upstream outside the regions that a route allows must get no requests, neither directly nor through
// other daemons.
func TestRouteRegionsAreEnforced(t *testing.T) {
	sim := newSimulation(t, 3)
	r := sim.gatherRoute()
	r.Regions = []string{"east", "north"}
	r.MinCoverage = 0.5
	sim.configure(2, r)
	for _, s := range sim.sortedUpstreams() {
		s.pauseInterval, s.pauseLength = 2000, 400
	}
	sim.scheduleLoad(9000, 50, "/q/1")
	sim.runUntil(11000)
	for id, s := range sim.sortedUpstreams() {
		if s.Region == "west" {
			require.Empty(t, s.requestTimes, id)
		}
	}
	require.GreaterOrEqual(t, sim.outcomeShare(func(o *outcome) bool { return o.parts >= 10 }), 0.9)
}

// Upstreams that are draining or whose failure domain is evacuated must get no new requests.
func TestUnusableUpstreamsGetNoRequests(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.configure(2, weightedRoute(true, cataloger.Weighted{Service: shardName(0), Weight: 1}))
	draining := sim.upstreams["u-0-0"]
	draining.Draining = true
	sim.broadcast(gatherer.UpstreamChanged{Upstream: draining.Upstream})
	sim.scheduleLoad(2000, 50, "/f/1")
	sim.runUntil(3000)
	require.Empty(t, draining.requestTimes)
	require.NotEmpty(t, sim.upstreams["u-0-1"].requestTimes)

	sim.broadcast(gatherer.DomainEvacuated{Domain: sim.upstreams["u-0-1"].Domain, Out: true})
	id := sim.sendQuery(sim.daemons[0], "/f/1")
	require.Equal(t, tiller.NotRun, sim.outcomes[id].refusal.Verdict)
	sim.broadcast(gatherer.DomainEvacuated{Domain: sim.upstreams["u-0-1"].Domain})
	id = sim.sendQuery(sim.daemons[0], "/f/1")
	sim.runUntil(4000)
	require.True(t, sim.outcomes[id].passed)
}

// An older configuration that arrives late must not replace a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	sim := newSimulation(t, 5)
	sim.configure(7, weightedRoute(true, cataloger.Weighted{Service: shardName(0), Weight: 1}))
	sim.configure(6)
	require.EqualValues(t, 7, sim.daemons[0].state.Version())
	id := sim.sendQuery(sim.daemons[0], "/q/1")
	require.Equal(t, tiller.ReasonUnknownRoute, sim.outcomes[id].refusal.Reason)
}

// A daemon without a configuration must refuse a query as not ready, and not as an unknown route.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	s := gatherer.New(gatherer.Settings{VM: "vm", Region: "east"})
	effects := s.Step(1000, gatherer.QueryArrived{Query: 1, ID: "a", Host: "h", Path: "/q/1"})
	require.Len(t, effects, 1)
	refuse := effects[0].(gatherer.Refuse)
	require.Equal(t, tiller.ReasonNotReady, refuse.Reason)
	require.Equal(t, tiller.NotRun, refuse.Verdict)
}

// When a client disconnects, its outstanding requests must be cancelled without delay.
func TestAbandonedQueryIsCancelled(t *testing.T) {
	sim := newSimulation(t, 6)
	d := sim.daemons[0]
	query := sim.lastQuery + 1
	sim.sendQuery(d, "/q/1")
	require.NotEmpty(t, d.pending)
	effects := d.state.Step(sim.now+1, gatherer.QueryAbandoned{Query: query})
	cancelled := 0
	for _, e := range effects {
		if c, ok := e.(gatherer.Cancel); ok {
			require.Zero(t, c.After)
			cancelled++
		}
	}
	require.Equal(t, len(d.pending), cancelled)
	require.Zero(t, d.state.ActiveQueries())
}

// A daemon that is lost during a sub-query may have used all attempts that the route allows, so no further
// request may be sent for its shards unless the sub-query certainly did not run.
func TestLostDaemonExhaustsAttempts(t *testing.T) {
	for _, tt := range []struct {
		verdict tiller.Verdict
		resent  bool
	}{{tiller.MayHaveRun, false}, {tiller.NotRun, true}} {
		sim := newSimulation(t, 7)
		d := sim.daemons[0]
		var ask gatherer.SendSubQuery
		for _, e := range d.state.Step(sim.now, gatherer.QueryArrived{Query: 1, ID: "a", Host: "h", Path: "/q/1", Deadline: 1000}) {
			if a, ok := e.(gatherer.SendSubQuery); ok {
				ask = a
			}
		}
		require.NotEmpty(t, ask.Shards)
		resent := false
		lost := tiller.NewFailure(tt.verdict, tiller.ReasonConnectionLost, nil)
		for _, e := range d.state.Step(sim.now+1, gatherer.SubQueryEnded{Attempt: ask.Attempt, Failure: lost}) {
			switch e.(type) {
			case gatherer.Send, gatherer.SendSubQuery:
				resent = true
			}
		}
		require.Equal(t, tt.resent, resent, tt.verdict)
	}
}

// An unreachable daemon must make few queries late, and must be used again once it can be reached.
func TestUnreachableDaemonIsProbed(t *testing.T) {
	sim := newSimulation(t, 8)
	requester := sim.daemons[0]
	for _, d := range sim.daemons {
		d.crashed = d.region == "north"
	}
	sim.scheduleLoad(9000, 90, "/q/1")
	sim.runUntil(9000)
	late := 0
	for _, o := range sim.outcomes {
		if o.latency > 0 && !isInTime(o) && o.startedAt > 2000 {
			late++
		}
	}
	require.LessOrEqual(t, float64(late), 0.02*float64(len(sim.outcomes)))
	for _, d := range sim.daemons {
		d.crashed = false
	}
	sim.runUntil(12000)
	sim.sendQuery(requester, "/q/1")
	served := false
	for range 40 {
		sim.sendQuery(requester, "/q/1")
		sim.runUntil(sim.now + 100)
	}
	for _, d := range sim.daemons {
		served = served || d.region == "north" && len(d.clientIDs) > 0
	}
	require.True(t, served)
}

// A daemon that knows no upstream of a shard must reject the whole sub-query. The requesting daemon must then
// send it no further sub-queries for a while, because it may have missed a configuration.
func TestSubQueryWithUnknownShardIsRejected(t *testing.T) {
	sim := newSimulation(t, 9)
	effects := sim.daemons[0].state.Step(sim.now, gatherer.SubQueryArrived{
		Query: 900, ID: "a",
		SubQuery: gatherer.SubQuery{Shards: []string{shardName(0), "new"}, TopK: 5, Attempts: 2, Target: 100, Timeout: 200},
	})
	require.Len(t, effects, 1)
	require.True(t, effects[0].(gatherer.ReplySub).Reply.NoCapacity)

	requester := sim.daemons[1]
	var ask gatherer.SendSubQuery
	for _, e := range requester.state.Step(sim.now, gatherer.QueryArrived{Query: 901, ID: "b", Host: "h", Path: "/q/1", Deadline: 1000}) {
		if a, ok := e.(gatherer.SendSubQuery); ok {
			ask = a
		}
	}
	effects = requester.state.Step(sim.now+40, gatherer.SubQueryEnded{Attempt: ask.Attempt, Reply: gatherer.SubReply{NoCapacity: true}})
	effects = append(effects, requester.state.Step(sim.now+50, gatherer.QueryArrived{Query: 902, ID: "c", Host: "h", Path: "/q/1", Deadline: 1000})...)
	asked := 0
	for _, e := range effects {
		if a, ok := e.(gatherer.SendSubQuery); ok {
			require.NotEqual(t, ask.Member.VM, a.Member.VM)
			asked++
		}
	}
	require.NotZero(t, asked)
}

// A sub-query that the other daemon has not accepted when the query is answered must be cancelled without
// delay. Otherwise a daemon that is starting up runs it later (280 ms were seen), on a third upstream of a
// shard.
func TestUnacceptedSubQueryIsCancelledOnAnswer(t *testing.T) {
	sim := newSimulation(t, 10)
	r := sim.gatherRoute()
	r.MinCoverage = 0.3
	sim.configure(2, r)
	d := sim.daemons[0]
	asked := make(map[uint64]bool)
	answered := false
	handle := func(effects []gatherer.Effect) (sends []gatherer.Send) {
		for _, e := range effects {
			switch e := e.(type) {
			case gatherer.Send:
				sends = append(sends, e)
			case gatherer.SendSubQuery:
				asked[e.Attempt] = true
			case gatherer.ReplyGathered:
				answered = true
			case gatherer.Cancel:
				if asked[e.Attempt] {
					require.Zero(t, e.After)
					delete(asked, e.Attempt)
				}
			}
		}
		return sends
	}
	sends := handle(d.state.Step(sim.now, gatherer.QueryArrived{Query: 1, ID: "a", Host: "h", Path: "/q/1", Deadline: 1000}))
	for _, send := range sends {
		answer := gatherer.Answer{Status: 200, Stamp: send.Upstream.ID, Body: make([]byte, 16)}
		handle(d.state.Step(sim.now+10, gatherer.AttemptEnded{Attempt: send.Attempt, Answer: answer}))
	}
	for now := sim.now + 11; now < sim.now+400 && !answered; now++ {
		handle(d.state.Step(now, gatherer.TimerFired{}))
	}
	require.True(t, answered)
	require.Empty(t, asked)
}

// A refusal for a timeout must state, for the log, the upstream whose request was still outstanding and the
// age of that request.
func TestTimeoutReportsUpstream(t *testing.T) {
	sim := newSimulation(t, 14)
	sim.configure(2, cataloger.Route{
		Name: "one", Host: "h", Prefix: "/1/", Timeout: 500, Attempts: 2, Services: []cataloger.Weighted{{Service: shardName(0), Weight: 1}},
	})
	d := sim.daemons[0].state
	d.Step(sim.now, gatherer.QueryArrived{Query: 1, ID: "a", Host: "h", Path: "/1/x", Deadline: 1000})
	var refused *gatherer.Refuse
	for _, e := range d.Step(sim.now+480, gatherer.TimerFired{}) {
		if r, ok := e.(gatherer.Refuse); ok {
			refused = &r
		}
	}
	require.NotNil(t, refused)
	require.Equal(t, tiller.ReasonTimeout, refused.Reason)
	require.Len(t, refused.Trouble, 1)
	require.Equal(t, shardName(0), refused.Trouble[0].Service)
	require.NotEmpty(t, refused.Trouble[0].Upstream)
	require.EqualValues(t, 480, refused.Trouble[0].After)
}

// A query must be refused, and must not crash the process, when its route requires a coverage above 1.
func TestCoverageAboveOneIsRefused(t *testing.T) {
	sim := newSimulation(t, 15)
	beyond := sim.gatherRoute()
	beyond.Name, beyond.Prefix, beyond.MinCoverage = "beyond", "/b/", 1.5
	sim.configure(2, sim.gatherRoute(), beyond)
	sim.upstreams["u-0-0"].silent, sim.upstreams["u-0-1"].silent = true, true
	sim.sendQuery(sim.daemons[0], "/q/1")
	sim.runUntil(sim.now + 500)
	id := sim.sendQuery(sim.daemons[0], "/b/1")
	require.NotNil(t, sim.outcomes[id].refusal)
	require.Equal(t, tiller.ReasonCoverageTooLow, sim.outcomes[id].refusal.Reason)
}

// Store entries are applied one by one. A daemon that reports ready before the last one is applied refuses
// its first requests for lack of upstreams that it has read but not yet applied.
func TestReadyAfterStoreIsRead(t *testing.T) {
	state := gatherer.New(gatherer.Settings{VM: "vm-1", Region: "east"})
	route := cataloger.Route{Name: "one", Host: "h", Prefix: "/", Services: []cataloger.Weighted{{Service: "single", Weight: 1}}}
	events := []gatherer.Event{
		gatherer.ConfigurationChanged{Configuration: cataloger.New(1, cataloger.Limits{}, []cataloger.Route{route}, nil)},
		gatherer.UpstreamChanged{Upstream: cataloger.Upstream{ID: "u-1", Service: "other", Address: "address", Region: "east"}},
		gatherer.UpstreamChanged{Upstream: cataloger.Upstream{ID: "u-2", Service: "single", Address: "address", Region: "east"}},
	}
	for _, e := range events {
		state.Step(1, e)
		require.False(t, state.IsReady(1))
	}
	state.Step(1, gatherer.StoreRead{})
	require.True(t, state.IsReady(1))
}
