package reducer_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// cost sums the steps, allocations and time of Step, without those of the test itself.
type cost struct {
	steps, attempts, queries int
	mallocs, bytes           uint64
	duration                 time.Duration
}

func (c cost) perAttempt() float64 { return float64(c.mallocs) / float64(c.attempts) }

// measureStepCost answers queries one after another and returns the cost of Step. The first 50 queries are a warm-up
// and do not count.
func measureStepCost(t *testing.T, d *tiller.Document, cfg reducer.Config, queries int) cost {
	s := reducer.New(cfg)
	var c cost
	var before, after runtime.MemStats
	now := tiller.Millis(1000)
	random := uint64(0)
	// stepAll passes events to Step and returns the effects of each.
	stepAll := func(events []reducer.Event) [][]reducer.Effect {
		effects := make([][]reducer.Effect, len(events))
		runtime.ReadMemStats(&before)
		start := time.Now()
		for i, e := range events {
			effects[i] = reducer.Step(s, e)
		}
		c.duration += time.Since(start)
		runtime.ReadMemStats(&after)
		c.mallocs += after.Mallocs - before.Mallocs
		c.bytes += after.TotalAlloc - before.TotalAlloc
		c.steps += len(events)
		return effects
	}
	stamp := func() reducer.Stamp {
		random += 0x9e3779b97f4a7c15
		return reducer.Stamp{Now: now, Random: random}
	}
	reducer.Step(s, reducer.DocumentApplied{Stamp: stamp(), Document: d})
	reducer.Step(s, reducer.SeatChanged{Stamp: stamp(), Seat: 0, Incarnation: 1})
	for i := range queries + 50 {
		if i == 50 {
			c = cost{}
		}
		now += 20
		events := []reducer.Event{reducer.QueryArrived{Stamp: stamp(), From: reducer.LocalCaller, Ref: uint64(i), Query: tiller.Query{
			ID: tiller.RequestID(fmt.Sprint(i)), Caller: "c", Service: "s", Route: "search", Body: []byte("b"),
			Repeatable: true, NeededCoverage: -1, Deadline: now + 1000,
		}}}
		c.queries++
		replies := 0
		for len(events) > 0 {
			effects := slices.Concat(stepAll(events)...)
			replies += len(effectsOf[reducer.Reply](effects))
			events = events[:0]
			for _, a := range effectsOf[reducer.SendAttempt](effects) {
				c.attempts++
				resp := tiller.SearchResponse{ID: a.Request.ID, Attempt: a.Request.Attempt, Snapshot: a.Request.Snapshot, Incarnation: 1}
				for _, sh := range a.Request.Shards {
					resp.Shards = append(resp.Shards, tiller.ShardItems{Shard: sh, Items: itemsOf(a.Request.Snapshot, sh)})
				}
				events = append(events, reducer.ResponseArrived{Stamp: stamp(), Attempt: a.Request.Attempt, Response: resp})
			}
		}
		require.Equal(t, 1, replies)
	}
	return c
}

// minTimePerAttempt returns the shortest time per attempt of five runs, because other load on the machine
// only adds to the time.
func minTimePerAttempt(t *testing.T, d *tiller.Document, cfg reducer.Config, queries int) time.Duration {
	shortest := time.Duration(0)
	for range 5 {
		c := measureStepCost(t, d, cfg, queries)
		if perAttempt := c.duration / time.Duration(c.attempts); shortest == 0 || perAttempt < shortest {
			shortest = perAttempt
		}
	}
	return shortest
}

// fanOutDocument returns a document with one service, whose queries need one request per shard.
func fanOutDocument(shards int) *tiller.Document {
	return cluster{shards: shards, upstreams: 2 * shards, replicas: 2, slots: 4, coldSlots: 4}.document()
}

// The cost of a query must grow at most linearly with its fan-out. It is quadratic when a step copies or scans
// data of the whole query.
func TestCostIsLinearInTheFanOut(t *testing.T) {
	small := measureStepCost(t, fanOutDocument(37), reducer.Config{}, 200)
	large := measureStepCost(t, fanOutDocument(370), reducer.Config{}, 100)
	for _, c := range []cost{small, large} {
		t.Logf("requests per query %.1f: steps per request %.3f, allocations per request %.2f, bytes per request %.0f",
			float64(c.attempts)/float64(c.queries), float64(c.steps)/float64(c.attempts), c.perAttempt(),
			float64(c.bytes)/float64(c.attempts))
	}
	allocRatio := large.perAttempt() / small.perAttempt()
	byteRatio := float64(large.bytes) / float64(large.attempts) / (float64(small.bytes) / float64(small.attempts))
	timeRatio := float64(minTimePerAttempt(t, fanOutDocument(370), reducer.Config{}, 50)) / float64(minTimePerAttempt(t, fanOutDocument(37), reducer.Config{}, 500))
	t.Logf("ratio of allocations per request %.3f, of bytes per request %.3f, of times per request %.2f", allocRatio, byteRatio, timeRatio)
	require.LessOrEqual(t, float64(large.steps)/float64(large.attempts), float64(small.steps)/float64(small.attempts))
	require.LessOrEqual(t, allocRatio, 1.2)
	require.LessOrEqual(t, byteRatio, 1.2)
}

// fleetDocument returns the document of a fleet: a service with 37 shards and, for each seat, another service with
// four upstreams. The added failure domains are in 7 regions.
func fleetDocument(seats int) *tiller.Document {
	d := fanOutDocument(37)
	d.Seats = seats
	for i := len(d.Domains); i < 27; i++ {
		d.Domains = append(d.Domains, tiller.Domain{Name: fmt.Sprint("d", i), Region: fmt.Sprint("r", i%7)})
	}
	for i := range seats * 4 {
		d.Upstreams = append(d.Upstreams, tiller.Upstream{Name: fmt.Sprint("x", i), Domain: fmt.Sprint("d", i%27), Slots: 4, Connections: 25, ColdSlots: 1})
	}
	for i := range seats {
		other := tiller.Service{Name: fmt.Sprint("other", i), Current: "n1", Snapshots: []tiller.Snapshot{{Name: "n1"}}}
		for j := range 4 {
			other.Snapshots[0].Shards = append(other.Snapshots[0].Shards, tiller.Shard{Name: fmt.Sprint(j), Upstreams: []string{fmt.Sprint("x", 4*i+j)}})
		}
		d.Services = append(d.Services, other)
	}
	return d
}

// The cost of Step for one query must not depend on the size of the fleet.
func TestCostDoesNotGrowWithTheFleet(t *testing.T) {
	cfg := reducer.Config{
		Holding: func(now tiller.Millis, _ tracker.UnitID) tracker.Holding {
			return tracker.Holding{Owned: true, ValidUntil: now + 1000}
		},
		SetUnits: func(tiller.Millis, uint64, []tracker.Unit) {},
	}
	smallFleet := measureStepCost(t, fleetDocument(8), cfg, 200)
	largeFleet := measureStepCost(t, fleetDocument(7400), cfg, 200)
	allocRatio := largeFleet.perAttempt() / smallFleet.perAttempt()
	smallFleetTime, largeFleetTime := minTimePerAttempt(t, fleetDocument(8), cfg, 500), minTimePerAttempt(t, fleetDocument(7400), cfg, 500)
	t.Logf("8 seats: %.2f allocations and %v per request; 7,400 seats: %.2f and %v; ratio of allocations %.3f, of times %.2f",
		smallFleet.perAttempt(), smallFleetTime, largeFleet.perAttempt(), largeFleetTime, allocRatio, float64(largeFleetTime)/float64(smallFleetTime))
	require.LessOrEqual(t, allocRatio, 1.2)
	require.LessOrEqual(t, float64(largeFleet.steps)/float64(largeFleet.attempts), float64(smallFleet.steps)/float64(smallFleet.attempts))
}

// A document of the target size must not block a daemon for long when the voters do not change. The times are logged
// without a bound.
func TestCostOfADocument(t *testing.T) {
	d := fleetDocument(7400)
	cfg := reducer.Config{SetUnits: func(tiller.Millis, uint64, []tracker.Unit) {}}
	s := reducer.New(cfg)
	var took []time.Duration
	for i := range 4 {
		next := *d
		next.Revision = int64(i + 1)
		start := time.Now()
		reducer.Step(s, reducer.DocumentApplied{Stamp: reducer.Stamp{Now: tiller.Millis(i)}, Document: &next})
		took = append(took, time.Since(start))
	}
	t.Logf("first document with 7,400 seats and %d upstreams %v, later ones %v", len(d.Upstreams), took[0], slices.Max(took[1:]))
}
