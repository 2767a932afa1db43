package demonstrator_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/jx"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/decoder"
	"github.com/carawaytiller/carawaytiller/demonstrator"
)

const (
	// patience bounds each wait for which no bound is stated; a passing test waits for much less.
	patience = 20 * time.Second
	// spreadBound is the stated time within which an accepted change is in force at 8 daemons.
	spreadBound = 2 * time.Second
	// outBound is the stated time after which a failure domain or an upstream that was taken out gets no new work.
	outBound = 3 * time.Second
	// watchTime is how long a test looks for new work after outBound.
	watchTime = 2 * time.Second

	seats  = 8
	shards = 4
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// document returns a document with a service of four shards, each with a replica in each failure domain.
func document() *tiller.Document {
	doc := &tiller.Document{Environment: "trial", Seats: seats}
	for _, domain := range []string{"a", "b", "c"} {
		doc.Domains = append(doc.Domains, tiller.Domain{Name: domain, Region: "r"})
		for i := range 2 {
			doc.Upstreams = append(doc.Upstreams, tiller.Upstream{
				Name: fmt.Sprint(domain, i), Domain: domain, Slots: 8, Connections: 20, ConnectMillis: 1, ColdSlots: 8,
			})
		}
	}
	n := tiller.Snapshot{Name: "n1"}
	for i := range shards {
		replicas := []string{fmt.Sprint("a", i%2), fmt.Sprint("b", i%2), fmt.Sprint("c", i%2)}
		n.Shards = append(n.Shards, tiller.Shard{Name: fmt.Sprint("s", i), Upstreams: replicas})
	}
	doc.Services = []tiller.Service{{
		Name: "index", Routes: []tiller.Route{{Name: "search", Repeatable: true}}, Current: "n1", Snapshots: []tiller.Snapshot{n},
		WaitFor: tiller.WaitForCoverage, NeededCoverage: 1, DeadlineMillis: 5 * tiller.Second, Limit: 10, QueueLimit: 1000,
		// A hedged request cancels the slower one; without them every request that runs also finishes.
		HedgePercent: 0, RetryPercent: 10,
	}}
	return doc
}

// start starts 8 daemons and waits until the service has an owner.
func start(t *testing.T) *demonstrator.Fleet {
	t.Helper()
	find := func(_, _, shard, _ string, body []byte, _ int) ([]tiller.Item, error) {
		return []tiller.Item{{Key: shard, Score: 1, Body: body}}, nil
	}
	f, err := demonstrator.Start(demonstrator.Config{
		Clock: tiller.SystemClock(), Logger: logr.Discard(), Document: document(),
		Upstream: demonstrator.DefaultUpstream(find), PropagationMillis: 1,
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		f.Close()
	})
	require.Eventually(t, func() bool { return ask(t.Context(), f, 0, "warm") == nil }, patience, 20*time.Millisecond)
	return f
}

// ask asks for every shard through a daemon. An answer that does not cover them all is an error.
func ask(ctx context.Context, f *demonstrator.Fleet, vm int, id string) error {
	c, err := caller.NewClient("http://" + f.Daemon(vm).CallerAddress())
	if err != nil {
		return err
	}
	answer, err := c.Query(ctx, &caller.Query{
		ID: id, Caller: "c", Service: "index", Route: "search", Body: jx.Raw("1"), DeadlineMillis: 4000,
	})
	if err == nil && (answer.Coverage.Answered != shards || len(answer.Items) != shards) {
		return fmt.Errorf("the answer covers %d shards with %d items", answer.Coverage.Answered, len(answer.Items))
	}
	return err
}

// load asks through all daemons until the end of the test or a call of the returned function,
// which returns the number of answers and the errors.
func load(t *testing.T, f *demonstrator.Fleet) (end func() (int64, []string)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	var answers atomic.Int64
	var mu sync.Mutex
	var failures []string
	for vm := range f.Members {
		tasks.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				// The query goes on when the load ends, so that no caller cancels one.
				if err := ask(context.Background(), f, vm, fmt.Sprint("load-", vm, "-", i)); err != nil {
					mu.Lock()
					failures = append(failures, err.Error())
					mu.Unlock()
					continue
				}
				answers.Add(1)
			}
		})
	}
	end = func() (int64, []string) {
		cancel()
		tasks.Wait()
		return answers.Load(), failures
	}
	t.Cleanup(func() { end() })
	return end
}

// operators returns the operators' client of a daemon.
func operators(t *testing.T, f *demonstrator.Fleet, vm int) *operator.Client {
	t.Helper()
	c, err := operator.NewClient("http://" + f.Daemon(vm).OperatorAddress())
	require.NoError(t, err)
	return c
}

// textOf returns the text of the fleet's document after a change.
func textOf(t *testing.T, f *demonstrator.Fleet, change func(*tiller.Document)) string {
	t.Helper()
	text, err := decoder.Encode(f.Document)
	require.NoError(t, err)
	doc, faults := decoder.DecodeDocument("", text)
	require.Empty(t, faults)
	change(doc)
	text, err = decoder.Encode(doc)
	require.NoError(t, err)
	return string(text)
}

// put applies a text through a daemon.
func put(t *testing.T, f *demonstrator.Fleet, vm int, operation string, expected int64, text string) operator.PutDocumentRes {
	t.Helper()
	change := &operator.Change{Operation: operation, Operator: "ada", ExpectedRevision: expected, Text: text}
	res, err := operators(t, f, vm).PutDocument(t.Context(), change, operator.PutDocumentParams{Env: "trial"})
	require.NoError(t, err)
	return res
}

// mustPut applies a text that must be accepted.
func mustPut(t *testing.T, f *demonstrator.Fleet, vm int, operation string, expected int64, text string) int64 {
	t.Helper()
	res := put(t, f, vm, operation, expected, text)
	accepted, ok := res.(*operator.Accepted)
	require.True(t, ok, "%+v", res)
	return accepted.Revision
}

// refusedPut applies a text that must be refused.
func refusedPut(t *testing.T, f *demonstrator.Fleet, vm int, operation string, expected int64, text string) operator.Error {
	t.Helper()
	res := put(t, f, vm, operation, expected, text)
	refused, ok := res.(*operator.ErrorStatusCode)
	require.True(t, ok, "%+v", res)
	return refused.Response
}

// history returns the identifiers of the accepted operations.
func history(t *testing.T, f *demonstrator.Fleet, vm int) []string {
	t.Helper()
	res, err := operators(t, f, vm).History(t.Context(), operator.HistoryParams{Env: "trial"})
	require.NoError(t, err)
	past, ok := res.(*operator.History)
	require.True(t, ok, "%+v", res)
	var ids []string
	for _, c := range past.Changes {
		ids = append(ids, c.Operation)
	}
	return ids
}

// requireEverywhere requires that a revision is in force at every daemon within spreadBound from begin.
func requireEverywhere(t *testing.T, f *demonstrator.Fleet, revision int64, begin time.Time) {
	t.Helper()
	for vm := range f.Members {
		for f.Daemon(vm).Revision() < revision {
			require.Less(t, time.Since(begin), spreadBound, "daemon %d is at revision %d", vm, f.Daemon(vm).Revision())
			time.Sleep(time.Millisecond)
		}
	}
	t.Logf("revision %d is in force at %d daemons after %d ms", revision, len(f.Members), time.Since(begin).Milliseconds())
}

// noReversal looks at the revisions of all daemons until a call of the returned function,
// which requires that none went back.
func noReversal(t *testing.T, f *demonstrator.Fleet) (end func()) {
	t.Helper()
	done := make(chan struct{})
	var watching sync.WaitGroup
	var reversals []string
	watching.Go(func() {
		highest := make([]int64, len(f.Members))
		for {
			for vm := range f.Members {
				now := f.Daemon(vm).Revision()
				if now < highest[vm] {
					reversals = append(reversals, fmt.Sprintf("daemon %d from %d to %d", vm, highest[vm], now))
				}
				highest[vm] = max(highest[vm], now)
			}
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	var once sync.Once
	stop := func() {
		once.Do(func() { close(done) })
		watching.Wait()
	}
	t.Cleanup(stop)
	return func() {
		stop()
		require.Empty(t, reversals)
	}
}
