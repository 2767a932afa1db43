package gatherer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// noticeSeeds is the number of seeded runs of each case.
const noticeSeeds = 25

// firstNotices returns, by daemon and upstream, the time of the first notice.
func (sim *simulation) firstNotices() map[[2]string]tiller.Millis {
	first := make(map[[2]string]tiller.Millis)
	for _, n := range sim.notices {
		key := [2]string{n.vm, n.upstream}
		if _, ok := first[key]; !ok {
			first[key] = n.at
		}
	}
	return first
}

// Upstreams leave and say so in their answers, while the store is away. A daemon that has got or passed on such an
// answer must send them no request that comes later, and the other upstreams must serve.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	t.Parallel()
	for seed := range uint64(noticeSeeds) {
		sim := newSimulation(t, seed)
		sim.addThirdUpstreams(2)
		sim.pauseUpstreams(3000)
		upstreams := sim.sortedUpstreams()
		for i := range 12 {
			upstreams[(int(seed)+5*i)%len(upstreams)].leavingFrom = 1500 + 50*tiller.Millis(i)
		}
		sim.scheduleLoad(4000, 60, "/q/1")
		sim.runUntil(5500)
		heard := sim.firstNotices()
		require.NotEmpty(t, heard)
		for _, send := range sim.sends {
			if at, ok := heard[[2]string{send.vm, send.upstream}]; ok {
				require.LessOrEqual(t, send.at, at, "seed %d: %+v", seed, send)
			}
		}
		require.GreaterOrEqual(t, sim.outcomeShare(isInTime), 0.95, "seed %d", seed)
	}
}

// A process that starts under the ID of one that said that it was leaving must be used.
func TestNewProcessAfterLeavingIsUsed(t *testing.T) {
	t.Parallel()
	s, sends := subQueryState(t)
	u := sends[0].Upstream
	s.Step(20, gatherer.AttemptEnded{Attempt: sends[0].Attempt, Answer: gatherer.Answer{Status: 200, Stamp: "s", Leaving: true}})
	ask := func(now tiller.Millis, query uint64) (sent int) {
		for _, e := range s.Step(now, gatherer.SubQueryArrived{Query: query, ID: "q", SubQuery: gatherer.SubQuery{
			Route: "r", Shards: []string{u.Service}, TopK: 2, Groups: 1, Attempts: 1, Target: 100, Timeout: 500,
		}}) {
			if _, ok := e.(gatherer.Send); ok {
				sent++
			}
		}
		return sent
	}
	require.Zero(t, ask(30, 2))
	// The entry of the same process changes.
	u.Slots = 5
	s.Step(40, gatherer.UpstreamChanged{Upstream: u})
	require.Zero(t, ask(50, 3))
	u.Incarnation = 7
	s.Step(60, gatherer.UpstreamChanged{Upstream: u})
	require.Equal(t, 1, ask(70, 4))
}

// Half of the upstreams reject all requests for half a second and ask for a pause. A daemon must send at most two
// requests to one of them between half a second after the rejection and the end of the pause. Afterwards they must
// serve again within two seconds, without a rush of all daemons.
func TestPauseOfUpstreamIsKept(t *testing.T) {
	t.Parallel()
	const named = 2500
	for seed := range uint64(noticeSeeds) {
		sim := newSimulation(t, 100+seed)
		for i := range shardCount {
			u := sim.upstreams[fmt.Sprintf("u-%d-%d", i, i%2)]
			u.busyFrom, u.busyUntil, u.pauseNamed = 2000, 2500, named
		}
		share := func(until tiller.Millis) float64 {
			sim.outcomes = make(map[string]*outcome)
			sim.scheduleLoad(until, 60, "/q/1")
			sim.runUntil(until)
			return sim.outcomeShare(isInTime)
		}
		before := share(2000)
		share(6000)
		require.GreaterOrEqual(t, share(8000), 0.95*before-0.02, "seed %d", seed)
		share(11000)
		counts := make(map[[2]string]int)
		last := make(map[[2]string]tiller.Millis)
		for _, n := range sim.notices {
			last[[2]string{n.vm, n.upstream}] = n.at
		}
		for _, send := range sim.sends {
			key := [2]string{send.vm, send.upstream}
			if at, ok := last[key]; ok && send.at > at+500 && send.at < at+named {
				counts[key]++
				require.LessOrEqual(t, counts[key], 2, "seed %d: %+v", seed, key)
			}
		}
		for i := range shardCount {
			u := sim.upstreams[fmt.Sprintf("u-%d-%d", i, i%2)]
			perSecond := make(map[tiller.Millis]int)
			total := 0
			for _, at := range u.requestTimes {
				if at >= 4500 && at < 10500 {
					perSecond[(at-4500)/1000]++
					total++
				}
			}
			for second, n := range perSecond {
				// The slack is for upstreams with few requests a second.
				require.LessOrEqual(t, float64(n), 2*float64(total)/6+10, "seed %d: %s in second %d", seed, u.ID, second)
			}
		}
	}
}

// A request on a plain route whose only upstream asked for a pause must be refused at once as not run, with the time
// at which there is room again.
func TestRequestDuringPauseIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	s := gatherer.New(gatherer.Settings{VM: "vm", Region: "east", Domain: "east-a", Bounds: cataloger.Bounds{RetryRatio: 0.2, RetrySlack: 50}})
	s.Step(1, gatherer.UpstreamChanged{Upstream: cataloger.Upstream{ID: "u", Service: "one", Region: "east", Domain: "east-a", Slots: 2}})
	route := cataloger.Route{Name: "one", Host: "h", Prefix: "/", Attempts: 1, Timeout: 1000, Services: []cataloger.Weighted{{Service: "one", Weight: 1}}}
	s.Step(1, gatherer.ConfigurationChanged{Configuration: cataloger.New(1, cataloger.Limits{}, []cataloger.Route{route}, nil)})
	var send gatherer.Send
	for _, e := range s.Step(10, gatherer.QueryArrived{Query: 1, ID: "a", Host: "h", Path: "/1", Deadline: 1000}) {
		if e, ok := e.(gatherer.Send); ok {
			send = e
		}
	}
	require.Equal(t, "u", send.Upstream.ID)
	s.Step(20, gatherer.AttemptEnded{Attempt: send.Attempt, Answer: gatherer.Answer{Status: 503, NotExecuted: true, Pause: 4000}})
	refused := 0
	for _, e := range s.Step(1000, gatherer.QueryArrived{Query: 2, ID: "b", Host: "h", Path: "/2", Deadline: 1000}) {
		if r, ok := e.(gatherer.Refuse); ok {
			refused++
			require.Equal(t, tiller.NotRun, r.Verdict)
			require.Equal(t, tiller.ReasonLimited, r.Reason)
			require.GreaterOrEqual(t, r.RetryAfter, tiller.Millis(3020))
			require.LessOrEqual(t, r.RetryAfter, tiller.Millis(3020+1000))
		}
	}
	require.Equal(t, 1, refused)
}
