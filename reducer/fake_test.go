package reducer_test

import (
	"fmt"
	"math"
	"slices"
	"strings"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

const (
	restartDurationMillis tiller.Millis = 500
	silenceTimeoutMillis  tiller.Millis = 250
	poisonBody                          = "poison"
)

// fakeUpstream simulates an upstream. When warm, it sheds requests above its slots. After a restart it is cold
// until it has completed warmAfter requests; while it is cold, it crashes if it runs more requests than its
// cold allowance.
type fakeUpstream struct {
	sim  *sim
	spec tiller.Upstream
	// serviceTime draws the service time of a request.
	serviceTime func() tiller.Millis
	// warmAfter is the number of completed requests after which the upstream is warm.
	warmAfter int

	running     map[tiller.AttemptID]tiller.SearchRequest
	incarnation int64
	completed   int
	down        bool
	silent      bool
	shedding    bool
	draining    bool
	// missingSnapshots are the snapshots that it does not serve.
	missingSnapshots []string
	crashes          int
	// coldOverloads counts the crashes caused by more requests than the cold allowance.
	coldOverloads int
	// runs counts the runs of each request.
	runs map[tiller.RequestID]int
	// busyMillis is the sum of the service times of the requests that were started.
	busyMillis float64
}

func newFakeUpstream(s *sim, spec tiller.Upstream) *fakeUpstream {
	f := &fakeUpstream{
		sim: s, spec: spec, incarnation: 1, completed: math.MaxInt32, warmAfter: 20,
		running: map[tiller.AttemptID]tiller.SearchRequest{}, runs: map[tiller.RequestID]int{},
	}
	f.serviceTime = func() tiller.Millis { return logNormal(s, 20, 0.4) }
	return f
}

// logNormal draws a time from a log-normal distribution with the given median and shape parameter sigma.
func logNormal(s *sim, median, sigma float64) tiller.Millis {
	return tiller.Millis(math.Round(median * math.Exp(sigma*s.rng.NormFloat64())))
}

// withStragglers multiplies one in n of the drawn times by factor.
func withStragglers(s *sim, n int, factor tiller.Millis, draw func() tiller.Millis) func() tiller.Millis {
	return func() tiller.Millis {
		if s.rng.IntN(n) == 0 {
			return draw() * factor
		}
		return draw()
	}
}

func (f *fakeUpstream) isCold() bool { return f.completed < f.warmAfter }

func (f *fakeUpstream) receive(r tiller.SearchRequest) {
	switch {
	case f.down:
		f.fail(r, tiller.NotRun, tiller.ReasonConnectFailed)
		f.sim.after(f.sim.oneWayLatency, func() { f.reportRestart(false) })
	case f.silent:
		f.sim.after(silenceTimeoutMillis, func() { f.fail(r, tiller.MayHaveRun, tiller.ReasonSilent) })
	case f.draining:
		f.fail(r, tiller.NotRun, tiller.ReasonDraining)
	case slices.Contains(f.missingSnapshots, r.Snapshot):
		f.fail(r, tiller.NotRun, tiller.ReasonNoSnapshot)
	case f.shedding, !f.isCold() && len(f.running) >= f.spec.Slots:
		f.fail(r, tiller.NotRun, tiller.ReasonShed)
	default:
		f.start(r)
	}
}

func (f *fakeUpstream) start(r tiller.SearchRequest) {
	f.running[r.Attempt] = r
	f.runs[r.ID]++
	if string(r.Body) == poisonBody {
		f.crash()
		return
	}
	if f.isCold() && len(f.running) > f.spec.ColdSlots {
		f.coldOverloads++
		f.crash()
		return
	}
	incarnation, took := f.incarnation, f.serviceTime()
	f.busyMillis += float64(took)
	f.sim.after(took, func() { f.finish(r, incarnation) })
}

func (f *fakeUpstream) finish(r tiller.SearchRequest, incarnation int64) {
	if _, ok := f.running[r.Attempt]; !ok || incarnation != f.incarnation {
		return
	}
	delete(f.running, r.Attempt)
	if f.sim.now > r.Deadline {
		f.fail(r, tiller.MayHaveRun, tiller.ReasonTimeout)
		return
	}
	f.completed++
	resp := tiller.SearchResponse{
		ID: r.ID, Attempt: r.Attempt, Snapshot: r.Snapshot, Incarnation: f.incarnation, Cold: f.isCold(),
	}
	for _, sh := range r.Shards {
		resp.Shards = append(resp.Shards, tiller.ShardItems{Shard: sh, Items: itemsOf(r.Snapshot, sh)})
	}
	f.sim.after(f.sim.oneWayLatency, func() {
		f.sim.step(reducer.ResponseArrived{Stamp: f.sim.stamp(), Attempt: r.Attempt, Response: resp})
	})
}

// itemsOf returns two items of a shard. Their keys contain the names of the snapshot and the shard.
func itemsOf(snapshot, shard string) []tiller.Item {
	score := float64(len(shard)) + float64(shard[len(shard)-1])
	return []tiller.Item{
		{Key: strings.Join([]string{snapshot, shard, "a"}, "/"), Score: score},
		{Key: strings.Join([]string{snapshot, shard, "b"}, "/"), Score: score / 2},
	}
}

func (f *fakeUpstream) fail(r tiller.SearchRequest, v tiller.Verdict, reason tiller.Reason) {
	f.sim.after(f.sim.oneWayLatency, func() {
		f.sim.step(reducer.AttemptFailed{Stamp: f.sim.stamp(), Attempt: r.Attempt, Verdict: v, Reason: reason})
	})
}

func (f *fakeUpstream) reportRestart(lost bool) {
	f.sim.step(reducer.UpstreamRestarted{Stamp: f.sim.stamp(), Upstream: f.spec.Name, Lost: lost})
}

// crash fails the running requests with a lost connection. The upstream is up again, and cold, after
// restartDurationMillis.
func (f *fakeUpstream) crash() {
	f.crashes++
	lost := len(f.running) > 0
	for _, id := range sortedAttemptIDs(f.running) {
		f.fail(f.running[id], tiller.MayHaveRun, tiller.ReasonConnectionLost)
	}
	clear(f.running)
	f.down = true
	f.incarnation++
	f.sim.after(f.sim.oneWayLatency+f.sim.restartReportDelay, func() { f.reportRestart(lost) })
	f.sim.after(restartDurationMillis, func() { f.down, f.draining, f.completed = false, false, 0 })
}

func sortedAttemptIDs(m map[tiller.AttemptID]tiller.SearchRequest) []tiller.AttemptID {
	var ids []tiller.AttemptID
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// cluster has the parameters of a document with one service. A change, if set, is applied to the document.
type cluster struct {
	shards, upstreams, replicas, slots, coldSlots, domains int
	change                                                 func(*tiller.Document)
}

// stride returns the distance between the upstreams of consecutive replicas of a shard. It is not a multiple of the
// number of failure domains, so that the replicas are in different domains.
func (c cluster) stride(domains int) int {
	stride := max(c.upstreams/c.replicas, 1)
	if stride%domains == 0 && domains > 1 {
		stride++
	}
	return stride
}

// document returns the document of a cluster. Replica r of shard i is on the upstream with the index
// i + r*stride, modulo the number of upstreams.
func (c cluster) document() *tiller.Document {
	d := &tiller.Document{Environment: "trial", Revision: 1, Seats: 8}
	domains := c.domains
	if domains == 0 {
		domains = 3
	}
	for i := range domains {
		d.Domains = append(d.Domains, tiller.Domain{Name: fmt.Sprint("d", i), Region: "r"})
	}
	for i := range c.upstreams {
		d.Upstreams = append(d.Upstreams, tiller.Upstream{
			Name: fmt.Sprint("u", i), Address: fmt.Sprint("a", i), Domain: fmt.Sprint("d", i%domains), Version: "1",
			Slots: c.slots, Connections: 25, ColdSlots: max(c.coldSlots, 1),
		})
	}
	sv := tiller.Service{
		Name: "s", Current: "n1", WaitFor: tiller.WaitForCoverage, NeededCoverage: 1, StragglerMillis: 20,
		DeadlineMillis: 10_000, Limit: 10, QueueLimit: 100, HedgePercent: 5, RetryPercent: 10,
		Routes: []tiller.Route{{Name: "search", Repeatable: true}, {Name: "print", Single: true}, {Name: "get", Repeatable: true, Single: true}},
	}
	for _, name := range []string{"n1", "n2"} {
		n := tiller.Snapshot{Name: name}
		for i := range c.shards {
			sh := tiller.Shard{Name: fmt.Sprint("s", i)}
			for r := range c.replicas {
				sh.Upstreams = append(sh.Upstreams, fmt.Sprint("u", (i+r*c.stride(domains))%c.upstreams))
			}
			n.Shards = append(n.Shards, sh)
		}
		sv.Snapshots = append(sv.Snapshots, n)
	}
	d.Services = []tiller.Service{sv}
	if c.change != nil {
		c.change(d)
	}
	return d
}

// searchQuery returns a repeatable query of a caller whose deadline is in the given number of milliseconds.
func (s *sim) searchQuery(caller string, deadline tiller.Millis) tiller.Query {
	return tiller.Query{
		Caller: caller, Service: "s", Route: "search", Repeatable: true, NeededCoverage: -1, Deadline: s.now + deadline,
	}
}
