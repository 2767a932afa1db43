package gatherer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// rolloutStore holds the published states of rollouts.
type rolloutStore struct {
	revision int64
	orders   map[string]cataloger.Rollout
	statuses map[string]cataloger.RolloutStatus
	// writtenAt holds the times at which final states were written.
	writtenAt map[string]tiller.Millis
	down      bool
}

const (
	reportDelayMillis = 25
	watchDelayMillis  = 300
)

func (sim *simulation) sendReport(d *daemon, e gatherer.SendReport) {
	for _, other := range sim.daemons {
		if other.vm != e.Member.VM {
			continue
		}
		if other.crashed || other.cutFromPeers || d.cutFromPeers || sim.now < other.frozenUntil {
			sim.schedule(400, func() { sim.step(d, gatherer.ReportLost{VM: e.Member.VM}) })
			return
		}
		sim.schedule(reportDelayMillis, func() {
			sim.step(other, gatherer.ReportReceived{Report: e.Report})
			reply := other.state.Report(sim.now)
			sim.schedule(reportDelayMillis, func() { sim.step(d, gatherer.ReportReceived{Report: reply}) })
		})
	}
}

func (sim *simulation) publishRollout(d *daemon, e gatherer.PublishRollout) {
	if d.cutFromStore || sim.store.down {
		return
	}
	status := e.Status
	known := sim.store.statuses[status.Service]
	if known.Revision != status.Revision {
		return
	}
	require.False(sim.t, known.State.IsFinal() && known.Revision > sim.store.orders[status.Service].Revision, "final state of %s changes", status.Service)
	sim.store.revision++
	status.Revision = sim.store.revision
	sim.store.statuses[status.Service] = status
	if status.State.IsFinal() {
		sim.store.writtenAt[status.Service] = sim.now
	}
	for _, other := range sim.daemons {
		sim.deliverFromStore(other, gatherer.RolloutPublished{Status: status})
	}
}

// deliverFromStore delivers an event to a daemon once it can reach the store.
func (sim *simulation) deliverFromStore(d *daemon, e gatherer.Event) {
	sim.schedule(sim.jitter(watchDelayMillis), func() {
		if d.cutFromStore || sim.store.down {
			sim.deliverFromStore(d, e)
			return
		}
		sim.step(d, e)
	})
}

func (sim *simulation) jitter(n int64) tiller.Millis {
	return tiller.Millis(1 + sim.random.Int64N(n))
}

// orderRollout starts upstreams of the version v2 beside those of a service, and orders the move to it.
func (sim *simulation) orderRollout(service string, duration tiller.Millis, change func(*fakeUpstream)) {
	sim.store.revision++
	order := cataloger.Rollout{Service: service, Target: "v2", Duration: duration, Revision: sim.store.revision}
	sim.store.orders = map[string]cataloger.Rollout{service: order}
	sim.store.statuses = make(map[string]cataloger.RolloutStatus)
	sim.store.writtenAt = make(map[string]tiller.Millis)
	for _, d := range sim.daemons {
		sim.deliverFromStore(d, gatherer.RolloutOrdered{Rollout: order})
	}
	for _, old := range sim.sortedUpstreams() {
		if old.Service != service {
			continue
		}
		added := &fakeUpstream{Upstream: old.Upstream, serviceTime: old.serviceTime, queueLimit: old.queueLimit}
		added.ID, added.Version, added.Cold = old.ID+"-v2", "v2", 3000
		change(added)
		sim.upstreams[added.ID] = added
		for _, d := range sim.daemons {
			sim.deliverFromStore(d, gatherer.UpstreamChanged{Upstream: added.Upstream})
		}
	}
}

// requireExposure checks the requests to the new version of a service against the operators' bounds.
func (sim *simulation) requireExposure(service string, from, deadline tiller.Millis) {
	all, exposed := 0, 0
	var bad []tiller.Millis
	for _, u := range sim.upstreams {
		if u.Service != service {
			continue
		}
		for _, at := range u.requestTimes {
			if at >= from && at < deadline {
				all++
				if u.Version == "v2" {
					exposed++
				}
			}
		}
		bad = append(bad, u.badAnswers...)
	}
	require.LessOrEqual(sim.t, float64(exposed), canaryShare*float64(all)+canarySlack, "%d requests in all", all)
	if len(bad) < 50 {
		return
	}
	for _, u := range sim.upstreams {
		for _, at := range u.requestTimes {
			if u.Service == service && u.Version == "v2" {
				require.LessOrEqual(sim.t, at, bad[49]+rollbackMillis)
			}
		}
	}
}

// newRolloutSimulation returns a simulation with a shard service and a single-route service of six upstreams,
// and a load on both.
func newRolloutSimulation(t *testing.T, seed uint64, until tiller.Millis) *simulation {
	sim := newSimulation(t, seed)
	for i := range 6 {
		region := regions[i%len(regions)]
		sim.register(&fakeUpstream{Upstream: cataloger.Upstream{
			ID: fmt.Sprintf("single-%d", i), Service: "single", Address: "address", Domain: region + "-a", Region: region, Slots: 3, Version: "v1",
		}, serviceTime: 60, queueLimit: 12})
	}
	for _, u := range sim.sortedUpstreams() {
		u.Version = "v1"
		sim.broadcast(gatherer.UpstreamChanged{Upstream: u.Upstream})
	}
	single := cataloger.Route{
		Name: "single", Host: "h", Prefix: "/one/", Repeatable: true, Timeout: 2000, Target: 500, Attempts: 2,
		Services: []cataloger.Weighted{{Service: "single", Weight: 1}},
	}
	sim.configure(2, sim.gatherRoute(), single)
	sim.broadcast(gatherer.StoreRead{})
	sim.scheduleLoad(until, 50, "/q/1")
	sim.scheduleLoad(until, 25, "/one/1")
	return sim
}

// rolloutDisturbances happen while a rollout is in progress.
var rolloutDisturbances = map[string]func(sim *simulation){
	"Calm": func(*simulation) {},
	"Freeze": func(sim *simulation) {
		for _, d := range sim.daemons[:3] {
			d.frozenUntil = sim.now + 3000
		}
	},
	"Restart": func(sim *simulation) {
		for _, d := range sim.daemons[2:5] {
			sim.restart(d)
		}
	},
	"CutOff": func(sim *simulation) {
		for _, d := range sim.daemons[:3] {
			d.cutFromStore, d.cutFromPeers = true, true
		}
		sim.schedule(4000, func() {
			for _, d := range sim.daemons {
				d.cutFromStore, d.cutFromPeers = false, false
			}
		})
	},
	"StoreDown": func(sim *simulation) {
		sim.store.down = true
		sim.schedule(4000, func() { sim.store.down = false })
	},
}

// restart replaces a daemon's process by one that reads the store.
func (sim *simulation) restart(d *daemon) {
	settings := daemonSettings(d, uint64(sim.now))
	settings.Incarnation = int64(sim.now)
	d.state = gatherer.New(settings)
	d.pending = make(map[uint64]*pendingAttempt)
	var members []cataloger.Member
	for _, other := range sim.daemons {
		members = append(members, other.member())
	}
	sim.step(d, gatherer.MembersChanged{Members: members})
	for _, order := range sim.store.orders {
		sim.step(d, gatherer.RolloutOrdered{Rollout: order, Old: true})
	}
	for _, u := range sim.sortedUpstreams() {
		sim.step(d, gatherer.UpstreamChanged{Upstream: u.Upstream})
	}
	for _, status := range sim.store.statuses {
		sim.step(d, gatherer.RolloutPublished{Status: status})
	}
	sim.step(d, gatherer.ConfigurationChanged{Configuration: sim.daemons[len(sim.daemons)-1].state.Configuration()})
	sim.step(d, gatherer.StoreRead{})
}

// A bad version must reach few requests, none after the rollback time, and be rolled back, whatever happens to
// daemons and the store meanwhile. It must be judged by the evidence of all daemons: each sees too little.
func TestBadVersionReachesFewRequests(t *testing.T) {
	t.Parallel()
	faults := map[string]func(*fakeUpstream){
		"Fails":    func(u *fakeUpstream) { u.badRate = 0.4 },
		"Slow":     func(u *fakeUpstream) { u.badRate, u.slowFactor = 0.6, 6 },
		"FailsNow": func(u *fakeUpstream) { u.badRate = 1 },
		"Later":    func(u *fakeUpstream) { u.badRate, u.badFrom = 0.5, 14000 },
	}
	for name, disturb := range rolloutDisturbances {
		for fault, change := range faults {
			for _, service := range []string{shardName(3), "single"} {
				t.Run(name+"/"+fault+"/"+service, func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(2) {
						sim := newRolloutSimulation(t, seed, 28000)
						sim.runUntil(6000)
						sim.orderRollout(service, 12000, change)
						sim.schedule(2000, func() { disturb(sim) })
						sim.runUntil(28000)
						sim.requireExposure(service, 6000, 18000)
						require.Equal(t, cataloger.RolloutRolledBack, sim.store.statuses[service].State, "seed %d: %s", seed, sim.rolloutLog)
						require.LessOrEqual(t, sim.store.writtenAt[service], tiller.Millis(18000), "seed %d", seed)
					}
				})
			}
		}
	}
}

// A good version must be completed by the deadline and then serve all requests.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	t.Parallel()
	for name, disturb := range rolloutDisturbances {
		for _, service := range []string{shardName(3), "single"} {
			t.Run(name+"/"+service, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					sim := newRolloutSimulation(t, seed, 24000)
					sim.runUntil(6000)
					sim.orderRollout(service, 12000, func(*fakeUpstream) {})
					sim.schedule(2000, func() { disturb(sim) })
					sim.runUntil(24000)
					require.Equal(t, cataloger.RolloutCompleted, sim.store.statuses[service].State, "seed %d: %s", seed, sim.rolloutLog)
					sim.requireExposure(service, 6000, sim.store.writtenAt[service])
					require.LessOrEqual(t, sim.store.writtenAt[service], tiller.Millis(18000), "seed %d", seed)
					for _, u := range sim.upstreams {
						if u.Service == service && u.Version == "v1" {
							require.LessOrEqual(t, u.requestTimes[len(u.requestTimes)-1], sim.store.writtenAt[service]+2*watchDelayMillis, "seed %d", seed)
						}
					}
				}
			})
		}
	}
}

// A version that replaces the completed one later, without an order, must serve beside it.
func TestReleaseAfterRolloutServes(t *testing.T) {
	t.Parallel()
	sim := newRolloutSimulation(t, 1, 32000)
	sim.runUntil(6000)
	sim.orderRollout("single", 12000, func(*fakeUpstream) {})
	sim.runUntil(28000)
	require.Equal(t, cataloger.RolloutCompleted, sim.store.statuses["single"].State, sim.rolloutLog)
	next := &fakeUpstream{Upstream: sim.upstreams["single-0"].Upstream, serviceTime: 20, queueLimit: 12}
	next.ID, next.Version = "next", "v3"
	sim.register(next)
	sim.runUntil(32000)
	require.NotEmpty(t, next.requestTimes)
}

// A daemon that knows neither the evidence of others nor the state in the store must not try a new version.
func TestIsolatedDaemonTriesNoNewVersion(t *testing.T) {
	t.Parallel()
	sim := newRolloutSimulation(t, 1, 20000)
	for _, d := range sim.daemons {
		d.cutFromPeers = true
	}
	sim.runUntil(6000)
	sim.orderRollout("single", 12000, func(u *fakeUpstream) { u.badRate = 0.4 })
	sim.runUntil(20000)
	for _, u := range sim.upstreams {
		if u.Version == "v2" {
			require.Empty(t, u.requestTimes)
		}
	}
}

// Upstreams of a new version may become known before the order that restricts them.
func TestNewVersionWaitsForItsOrder(t *testing.T) {
	t.Parallel()
	sim := newRolloutSimulation(t, 1, 9000)
	sim.runUntil(6000)
	early := &fakeUpstream{Upstream: sim.upstreams["single-0"].Upstream, serviceTime: 20, queueLimit: 12}
	early.ID, early.Version = "early", "v2"
	sim.register(early)
	sim.runUntil(7500)
	require.Empty(t, early.requestTimes)
	sim.runUntil(9000)
	require.NotEmpty(t, early.requestTimes, "a version without an order serves after a while")
}
