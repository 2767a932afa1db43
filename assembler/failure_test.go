package assembler_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/demonstrator"
	"github.com/carawaytiller/carawaytiller/faker"
)

// Guards against an answer whose coverage omits a missing shard, and against a refusal with verdict NotRun after
// other shards were searched.
func TestOnlyReplicaDown(t *testing.T) {
	f := startFleet(t, 1, nil)
	f.Fakes.Upstreams["index-2"].Close()
	q := query("partial", `"x"`)
	q.NeededCoverage = caller.NewOptFloat64(0.5)
	q.DeadlineMillis = 500
	a, err := ask(t.Context(), f.Daemon(0), q)
	require.NoError(t, err)
	require.Equal(t, shardCount, a.Coverage.Asked)
	require.Equal(t, shardCount-1, a.Coverage.Answered)
	require.Len(t, a.Coverage.Missing, 1)
	require.Equal(t, "s2", a.Coverage.Missing[0].Shard)
	require.Len(t, a.Items, shardCount-1)
	requireItemsFor(t, a, `"x"`)

	q.ID, q.NeededCoverage = "whole", caller.NewOptFloat64(1)
	refusal := requireRefusal(t, f.Daemon(0), q)
	require.Equal(t, caller.RefusalVerdictMayHaveRun, refusal.Verdict)
	require.EqualValues(t, tiller.ReasonCoverageTooLow, refusal.Reason)
	require.Equal(t, "s2", refusal.Coverage.Value.Missing[0].Shard)
}

// Guards against verdict MayHaveRun for a request that reached no upstream, and NotRun for one that did.
func TestVerdictWithoutUpstreams(t *testing.T) {
	f := startFleet(t, 1, nil)
	before := 0
	for _, u := range f.Fakes.Upstreams {
		before += u.Counts().Run
		u.Close()
	}
	// A request written before the daemon notices the lost connections may have run, and is refused with MayHaveRun.
	require.Eventually(t, func() bool {
		return f.Daemon(0).Metrics().Value("connection_lost", tiller.ReasonConnectionLost) == shardCount
	}, waitTimeout, time.Millisecond)
	q := query("none", `"warm"`)
	q.DeadlineMillis = 300
	refusal := requireRefusal(t, f.Daemon(0), q)
	after := 0
	for _, u := range f.Fakes.Upstreams {
		after += u.Counts().Run
	}
	require.Equal(t, before, after)
	require.Equal(t, caller.RefusalVerdictNotRun, refusal.Verdict, refusal.Reason)
}

// Guards against the use of a response that belongs to another request.
func TestMismatchedResponsesAreNotUsed(t *testing.T) {
	f := startFleet(t, 1, nil)
	f.Fakes.Upstreams["index-1"].SetFaults(faker.UpstreamFaults{Mismatch: true})
	for i := range 10 {
		body := fmt.Sprint(i)
		q := query("q"+body, body)
		q.NeededCoverage = caller.NewOptFloat64(0.5)
		q.DeadlineMillis = 300
		if a, err := ask(t.Context(), f.Daemon(0), q); err == nil {
			requireItemsFor(t, a, body)
			require.Len(t, a.Coverage.Missing, 1)
			require.Equal(t, "s1", a.Coverage.Missing[0].Shard)
		}
	}
	require.Positive(t, f.Daemon(0).Metrics().Value("response_mismatched", tiller.ReasonMismatch))
}

// Guards against a query that fails because an open connection no longer carries any data.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := startFleet(t, 1, nil)
	// RetryPercent is 10, so four retries need forty first attempts.
	for i := range 12 {
		_, err := ask(t.Context(), f.Daemon(0), query(fmt.Sprint("fill-", i), `"warm"`))
		require.NoError(t, err)
	}
	for _, u := range f.Fakes.Upstreams {
		u.SetFaults(faker.UpstreamFaults{Silent: true})
	}
	begin := time.Now()
	a, err := ask(t.Context(), f.Daemon(0), query("q", `"warm"`))
	require.NoError(t, err)
	require.Equal(t, shardCount, a.Coverage.Answered)
	// 2 s is eight times the shortest silence (250 ms) after which a connection is suspect.
	require.Less(t, time.Since(begin), 2*time.Second)
	require.EqualValues(t, shardCount, f.Daemon(0).Metrics().Value("connection_silent", tiller.ReasonSilent))
}

// Guards against upstream work that continues after its caller has disconnected.
func TestCallerGoneCancelsUpstreamWork(t *testing.T) {
	f := startFleet(t, 3, nil)
	for _, u := range f.Fakes.Upstreams {
		u.SetFaults(faker.UpstreamFaults{ServiceMillis: 2 * tiller.Second})
	}
	for vm := range f.Members {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := ask(ctx, f.Daemon(vm), query("gone", `"warm"`))
		cancel()
		require.Error(t, err)
		require.Eventually(t, func() bool {
			inFlight := 0
			for _, u := range f.Fakes.Upstreams {
				inFlight += u.Counts().InFlight
			}
			return inFlight == 0
		}, time.Second, 5*time.Millisecond)
	}
	cancelled := 0
	for _, u := range f.Fakes.Upstreams {
		cancelled += u.Counts().Cancelled
	}
	require.Equal(t, len(f.Members)*shardCount, cancelled)
}

// Guards against a label that is printed twice because its caller sent the request again, through any daemon:
// after an answer, during the first run, or after it disconnected.
func TestResentRequestRunsOnce(t *testing.T) {
	f := startFleet(t, 3, func(s *faker.UpstreamSettings) { s.ServiceMillis = 20 })
	for i := range 12 {
		token, err := client(f.Daemon(i % 3)).IssueToken(t.Context())
		require.NoError(t, err)
		id := fmt.Sprint("print-", i)
		var answered atomic.Int64
		var tasks sync.WaitGroup
		for copies := range 2 * len(f.Members) {
			d := f.Daemon(copies % len(f.Members))
			ctx, cancel := context.WithCancel(t.Context())
			if i%2 == 1 && copies == 0 {
				time.AfterFunc(10*time.Millisecond, cancel)
			}
			tasks.Go(func() {
				defer cancel()
				if _, err := ask(ctx, d, printQuery(id, token.Token)); err == nil {
					answered.Add(1)
				}
			})
			time.Sleep(time.Duration(i) * time.Millisecond)
		}
		tasks.Wait()
		runs := 0
		for _, u := range f.Fakes.Upstreams {
			runs += u.Runs("print")[id]
		}
		require.LessOrEqual(t, runs, 1, id)
		require.False(t, answered.Load() > 0 && runs == 0, "answered without a run")
	}
}

// Guards against invalid queries that reach an upstream or impair the daemon. These are queries that the HTTP
// interface itself does not reject.
func TestBadQueries(t *testing.T) {
	f := startFleet(t, 1, nil)
	for name, test := range map[string]struct {
		modify func(*caller.Query)
		reason tiller.Reason
	}{
		"unknown service": {func(q *caller.Query) { q.Service = "x" }, tiller.ReasonUnknownService},
		"unknown route":   {func(q *caller.Query) { q.Route = "x" }, tiller.ReasonBadRequest},
		"no token":        {func(q *caller.Query) { *q = *printQuery("p", "") }, tiller.ReasonTokenRequired},
		"unknown token":   {func(q *caller.Query) { *q = *printQuery("p", "x") }, tiller.ReasonTokenUnknown},
		"past deadline":   {func(q *caller.Query) { q.DeadlineMillis = -1 }, tiller.ReasonDeadlinePast},
	} {
		q := query("bad", `"warm"`)
		test.modify(q)
		refusal := requireRefusal(t, f.Daemon(0), q)
		require.EqualValues(t, test.reason, refusal.Reason, name)
		require.Equal(t, caller.RefusalVerdictNotRun, refusal.Verdict, name)
		_, err := ask(t.Context(), f.Daemon(0), query("good", `"warm"`))
		require.NoError(t, err, name)
	}
}

// Guards against a rolling restart that interrupts or refuses requests. As with a load balancer, requests go only
// to daemons whose /readyz succeeds.
func TestPlannedStopUnderLoad(t *testing.T) {
	f := startFleet(t, 3, nil)
	balancer := newBalancer(f)
	stop := make(chan struct{})
	var failures sync.Map
	var answered atomic.Int64
	var tasks sync.WaitGroup
	for worker := range 8 {
		tasks.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				seat := balancer.next(i + worker)
				_, err := balancer.clients[seat].Load().Query(t.Context(), query(fmt.Sprint(worker, "-", i), `"warm"`))
				if err != nil {
					failures.Store(fmt.Sprint(seat, " ", err), true)
					continue
				}
				answered.Add(1)
			}
		})
	}
	for seat := range f.Members {
		balancer.drain(t, seat)
		require.NoError(t, f.StartDaemon(seat))
		balancer.restore(seat)
		// The restarted daemon must vote again before the next one stops.
		time.Sleep(2 * time.Second)
	}
	close(stop)
	tasks.Wait()
	failures.Range(func(key, _ any) bool {
		t.Errorf("request failed: %v", key)
		return true
	})
	require.Greater(t, answered.Load(), int64(100))
}

// balancer distributes requests over the daemons that are ready.
type balancer struct {
	fleet   *demonstrator.Fleet
	clients []atomic.Pointer[caller.Client]
	ready   []atomic.Bool
}

func newBalancer(f *demonstrator.Fleet) *balancer {
	b := &balancer{
		fleet:   f,
		clients: make([]atomic.Pointer[caller.Client], len(f.Members)),
		ready:   make([]atomic.Bool, len(f.Members)),
	}
	for seat := range f.Members {
		b.restore(seat)
	}
	return b
}

// next returns the first ready seat from the i-th on, modulo the number of seats.
func (b *balancer) next(i int) int {
	for {
		if seat := i % len(b.ready); b.ready[seat].Load() {
			return seat
		}
		i++
	}
}

func (b *balancer) restore(seat int) {
	b.clients[seat].Store(client(b.fleet.Daemon(seat)))
	b.ready[seat].Store(true)
}

// drain stops a daemon, and excludes it from the load as soon as its /readyz fails.
func (b *balancer) drain(t *testing.T, seat int) {
	t.Helper()
	stopped := make(chan error, 1)
	address := b.fleet.Daemon(seat).CallerAddress()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		stopped <- b.fleet.StopDaemon(ctx, seat)
	}()
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	}, waitTimeout, 5*time.Millisecond)
	b.ready[seat].Store(false)
	require.NoError(t, <-stopped)
}
