package reducer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// Every answer must be complete while failure domains and upstreams leave and return, an old revision arrives,
// upstreams drain, lack a snapshot or crash, and the current snapshot changes.
func TestChangesWhileQueriesRun(t *testing.T) {
	reruns := int64(0)
	for seed := range uint64(8) {
		s := newSim(t, seed, cluster{shards: 12, upstreams: 12, replicas: 3, slots: 6, coldSlots: 2}.document(), reducer.Config{})
		// Requests in transit when the snapshot is retired arrive after the new document is in force.
		s.oneWayLatency = 5
		s.load(60, 12_000, func() tiller.Query {
			q := s.searchQuery(fmt.Sprint("c", s.rng.IntN(3)), 2000)
			q.Body = []byte(fmt.Sprint(s.rng.IntN(20)))
			return q
		})
		s.at(3000, func() { s.applyChange(func(d *tiller.Document) { d.Domains[1].Out = true }) })
		s.at(4000, func() { s.applyChange(func(d *tiller.Document) { d.Domains[1].Out = false }) })
		s.at(5000, func() { s.applyChange(func(d *tiller.Document) { d.Upstreams[3].Leaving = true }) })
		s.at(5500, func() {
			old := *s.document
			old.Revision, old.Services = 1, nil
			s.step(reducer.DocumentApplied{Stamp: s.stamp(), Document: &old})
		})
		s.at(6000, func() { s.upstreams["u5"].draining = true })
		s.at(6500, func() {
			s.step(reducer.LoadReported{Stamp: s.stamp(), Upstream: "u5", InFlight: 3})
			s.step(reducer.LoadReported{Stamp: s.stamp(), Upstream: "u6", Draining: true})
		})
		s.at(7000, func() { s.upstreams["u1"].missingSnapshots = []string{"n1"} })
		s.at(8000, func() { s.applyChange(func(d *tiller.Document) { d.Services[0].Current = "n2" }) })
		for _, name := range sortedUpstreamNames(s) {
			s.at(7999, func() { s.upstreams[name].missingSnapshots = []string{"n1"} })
		}
		s.at(9000, func() { s.upstreams["u2"].crash() })
		s.run(30_000)
		s.inspector.checkReplied()
		require.Empty(t, s.inspector.violations)
		sum := s.summarize(1, s.nextRef, nil)
		require.Equal(t, sum.submitted, sum.complete, "%v", sum.refusals)
		require.Positive(t, s.counts["document_stale"])
		reruns += s.counts["rerun"]
	}
	require.Positive(t, reruns, "no running query was rerun when its snapshot was retired")
}

// A replica that lacks a snapshot must get no requests for it at first, and must be used again later.
func TestReplicaWithoutSnapshotIsAvoided(t *testing.T) {
	s := newSim(t, 1, cluster{shards: 1, upstreams: 2, replicas: 2, slots: 4}.document(), reducer.Config{})
	s.manual = true
	s.submit(s.searchQuery("c", 1000))
	a := onlyEffect[reducer.SendAttempt](s)
	s.fail(a, tiller.NotRun, tiller.ReasonNoSnapshot)
	for len(effectsOf[reducer.SendAttempt](s.lastEffects)) == 0 {
		s.advance(1)
	}
	s.respond(onlyEffect[reducer.SendAttempt](s))
	queryUpstream := func() string {
		s.submit(s.searchQuery("c", 1000))
		sent := onlyEffect[reducer.SendAttempt](s)
		s.respond(sent)
		return sent.Upstream
	}
	used := map[string]bool{}
	for range 20 {
		require.NotEqual(t, a.Upstream, queryUpstream())
	}
	s.now += 3 * tiller.Second
	for range 1000 {
		used[queryUpstream()] = true
	}
	require.Len(t, used, 2)
}

// If a snapshot is retired and no other replaces it, the answer must state the missing shard with the reason NoSnapshot
// and must not contain items of another snapshot.
func TestRetiredSnapshotWithoutSuccessor(t *testing.T) {
	c := cluster{shards: 2, upstreams: 2, replicas: 1, slots: 4, change: func(d *tiller.Document) {
		d.Services[0].NeededCoverage = 0.5
	}}
	s := newSim(t, 1, c.document(), reducer.Config{})
	s.manual = true
	s.submit(s.searchQuery("c", 1000))
	s.respond(onlyEffect[reducer.SendAttempt](s))
	a := onlyEffect[reducer.SendAttempt](s)
	s.fail(a, tiller.NotRun, tiller.ReasonNoSnapshot)
	for len(effectsOf[reducer.Reply](s.lastEffects)) == 0 {
		s.advance(1)
	}
	answer := onlyEffect[reducer.Reply](s).Result.Answer
	require.Equal(t, "n1", answer.Snapshot)
	require.Equal(t, []tiller.MissingShard{{Shard: a.Request.Shards[0], Reason: tiller.ReasonNoSnapshot}}, answer.Coverage.Missing)
}

// A smaller quota holds at once, a larger one after 6 s, when every daemon has the revision. If it held earlier,
// two owners with different revisions could together overload an upstream.
func TestQuotaShrinksAtOnceAndGrowsLater(t *testing.T) {
	leases := &fakeLeases{holding: tracker.Holding{Owned: true, ValidUntil: 600_000, Owner: 7}}
	s := newSeatedSim(t, leases, cluster{shards: 1, upstreams: 1, replicas: 1, slots: 4})
	s.submit(s.searchQuery("c", 1000))
	quota := func() int { return s.state.Status(s.now).Upstreams[0].Quota }
	require.Equal(t, 4, quota())
	s.applyChange(func(d *tiller.Document) { d.Upstreams[0].Slots = 2 })
	require.Equal(t, 2, quota())
	s.applyChange(func(d *tiller.Document) { d.Upstreams[0].Slots = 6 })
	require.Equal(t, 2, quota())
	s.advance(6000 - 1)
	require.Equal(t, 2, quota())
	s.advance(1)
	require.Equal(t, 6, quota())
}

// SetUnits must get the units of the document. The epoch of their voter sets must change with the number of seats,
// and neither the units nor the epoch may change with an unrelated revision.
func TestUnitsAreAnnounced(t *testing.T) {
	var epochs []uint64
	var units []tracker.Unit
	cfg := reducer.Config{SetUnits: func(_ tiller.Millis, epoch uint64, u []tracker.Unit) {
		epochs, units = append(epochs, epoch), u
	}}
	s := newSim(t, 1, cluster{shards: 1, upstreams: 2, replicas: 2, slots: 24}.document(), cfg)
	require.Len(t, units, 3)
	before := units
	s.applyChange(func(d *tiller.Document) { d.Domains[0].Out = true })
	require.Equal(t, before, units)
	s.applyChange(func(d *tiller.Document) { d.Seats = 9 })
	require.Equal(t, epochs[0], epochs[1])
	require.NotEqual(t, epochs[1], epochs[2])
}
