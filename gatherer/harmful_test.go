package gatherer_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

const (
	crashDowntimeMillis = 3000
	// maxCrashRetries is the number of requests that may reach upstreams later than contactMillis after a request
	// has crashed its third upstream.
	maxCrashRetries = 3
	contactMillis   = 5000
)

func (sim *simulation) probeUpstream(d *daemon, e gatherer.ProbeUpstream) {
	u := sim.upstreams[e.Upstream.ID]
	sim.schedule(2*networkDelay(d.region, u.Region), func() {
		sim.step(d, gatherer.UpstreamProbed{ID: u.ID, Reached: sim.now >= u.downUntil})
	})
}

// crashUpstream makes an upstream lose all its requests and refuse connections for a while.
func (sim *simulation) crashUpstream(s *fakeUpstream, answer func(gatherer.AttemptEnded)) func() {
	s.crashes = append(s.crashes, sim.now)
	s.downUntil = sim.now + crashDowntimeMillis
	jobs := s.jobs
	s.jobs, s.waiting, s.running = nil, nil, 0
	for _, j := range jobs {
		if !j.ended {
			j.ended = true
			j.lose()
		}
	}
	answer(connectionLost())
	return func() {}
}

// sendWithDigest sends a request that has the same digest as others.
func (sim *simulation) sendWithDigest(d *daemon, path string, digest uint64, crashes bool) string {
	id := sim.nextID()
	sim.digests[id] = digest
	sim.crashing[id] = crashes
	return sim.sendQuery(d, path)
}

// nextID returns the identifier of the request that is sent next.
func (sim *simulation) nextID() string { return fmt.Sprintf("q-%d", sim.lastQuery+1) }

// scheduleDistinctLoad is scheduleLoad with a digest for each request.
func (sim *simulation) scheduleDistinctLoad(until tiller.Millis, perSecond int, path string) {
	for at := sim.now; at < until; at += tiller.Millis(1000 / perSecond) {
		sim.schedule(at-sim.now, func() {
			sim.sendWithDigest(sim.daemons[sim.random.IntN(len(sim.daemons))], path, 1000+sim.lastQuery, false)
		})
	}
}

const crashingDigest = 7

// crashArrivals returns the times at which the crashing request reached upstreams.
func (sim *simulation) crashArrivals() (arrivals, crashes []tiller.Millis) {
	for _, all := range sim.arrivals {
		for _, a := range all {
			if sim.crashing[a.id] {
				arrivals = append(arrivals, a.at)
			}
		}
	}
	for _, u := range sim.upstreams {
		crashes = append(crashes, u.crashes...)
	}
	slices.Sort(crashes)
	return arrivals, crashes
}

// A request that crashes each upstream that runs it, and that its caller sends again to any daemon, must not
// reach further upstreams, whatever happens to the daemons, and other requests must not be refused for it.
func TestCrashingRequestIsBlocked(t *testing.T) {
	t.Parallel()
	for name, disturb := range rolloutDisturbances {
		for _, path := range []string{"/q/1", "/one/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2) {
					sim := newRolloutSimulation(t, seed, 0)
					sim.scheduleDistinctLoad(25000, 50, "/q/1")
					sim.scheduleDistinctLoad(25000, 25, "/one/1")
					for at := tiller.Millis(5000); at < 25000; at += 400 {
						sim.schedule(at-sim.now, func() {
							sim.sendWithDigest(sim.daemons[sim.random.IntN(len(sim.daemons))], path, crashingDigest, true)
						})
					}
					sim.schedule(7000, func() { disturb(sim) })
					sim.runUntil(26000)
					arrivals, crashes := sim.crashArrivals()
					late := 0
					for _, at := range arrivals {
						if len(crashes) >= 3 && at > crashes[2]+contactMillis {
							late++
						}
					}
					require.LessOrEqual(t, late, maxCrashRetries, "seed %d: %d upstreams crashed", seed, len(crashes))
					for id, o := range sim.outcomes {
						if !sim.crashing[id] && o.refusal != nil {
							require.NotEqual(t, tiller.ReasonHarmful, o.refusal.Reason, "seed %d: %s", seed, id)
						}
					}
				}
			})
		}
	}
}

// A request that was refused as harmful must not have run, and lost answers alone must not block any request.
func TestLostAnswersDoNotBlock(t *testing.T) {
	t.Parallel()
	sim := newRolloutSimulation(t, 1, 0)
	for _, u := range sim.sortedUpstreams() {
		u.resetRate = 0.3
	}
	sim.scheduleDistinctLoad(10000, 50, "/q/1")
	for at := tiller.Millis(2000); at < 10000; at += 200 {
		sim.schedule(at-sim.now, func() {
			sim.sendWithDigest(sim.daemons[sim.random.IntN(len(sim.daemons))], "/one/1", crashingDigest, false)
		})
	}
	sim.runUntil(11000)
	for id, o := range sim.outcomes {
		require.False(t, o.refusal != nil && o.refusal.Reason == tiller.ReasonHarmful, id)
	}
}
