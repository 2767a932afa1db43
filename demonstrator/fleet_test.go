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
	// waitTimeout limits waits for events that have no specified bound. A passing test waits much less.
	waitTimeout = 20 * time.Second
	// spreadBound is the specified time within which 8 daemons apply an accepted change.
	spreadBound = 2 * time.Second
	// noNewWorkBound is the specified time after which a failure domain or an upstream that was taken out of service
	// gets no new work.
	noNewWorkBound = 3 * time.Second
	// observationTime is how long a test watches for a violation, such as new work after noNewWorkBound.
	observationTime = 2 * time.Second

	seats  = 8
	shards = 4
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// document returns a document with one service of four shards, each with one replica in each of three failure domains.
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
		// Hedging is off because a hedged request cancels the slower one. Without hedging every request that starts
		// also finishes, which requireNoNewWork checks.
		HedgePercent: 0, RetryPercent: 10,
	}}
	return doc
}

// start starts a fleet of 8 daemons and waits until a query succeeds, that is until the service has an owner.
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
	require.Eventually(t, func() bool { return ask(t.Context(), f, 0, "warm") == nil }, waitTimeout, 20*time.Millisecond)
	return f
}

// ask sends a query over all shards to a daemon. It returns an error if the answer does not cover every shard.
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

// startLoad sends queries to all daemons until the test ends or the returned function is called.
// That function returns the number of answers and the errors.
func startLoad(t *testing.T, f *demonstrator.Fleet) (end func() (int64, []string)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	var answers atomic.Int64
	var mu sync.Mutex
	var failures []string
	for vm := range f.Members {
		tasks.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				// The end of the load does not cancel running queries.
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

// operatorClient returns a client for the operator API of a daemon.
func operatorClient(t *testing.T, f *demonstrator.Fleet, vm int) *operator.Client {
	t.Helper()
	c, err := operator.NewClient("http://" + f.Daemon(vm).OperatorAddress())
	require.NoError(t, err)
	return c
}

// changedText returns the encoded document of the fleet with change applied. It does not modify f.Document.
func changedText(t *testing.T, f *demonstrator.Fleet, change func(*tiller.Document)) string {
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

// put submits an encoded document to a daemon and returns the response.
func put(t *testing.T, f *demonstrator.Fleet, vm int, operation string, expected int64, text string) operator.PutDocumentRes {
	t.Helper()
	change := &operator.Change{Operation: operation, Operator: "ada", ExpectedRevision: expected, Text: text}
	res, err := operatorClient(t, f, vm).PutDocument(t.Context(), change, operator.PutDocumentParams{Env: "trial"})
	require.NoError(t, err)
	return res
}

// mustPut submits an encoded document, requires that it is accepted, and returns its revision.
func mustPut(t *testing.T, f *demonstrator.Fleet, vm int, operation string, expected int64, text string) int64 {
	t.Helper()
	res := put(t, f, vm, operation, expected, text)
	accepted, ok := res.(*operator.Accepted)
	require.True(t, ok, "%+v", res)
	return accepted.Revision
}

// refusedPut submits an encoded document, requires that it is refused, and returns the error.
func refusedPut(t *testing.T, f *demonstrator.Fleet, vm int, operation string, expected int64, text string) operator.Error {
	t.Helper()
	res := put(t, f, vm, operation, expected, text)
	refused, ok := res.(*operator.ErrorStatusCode)
	require.True(t, ok, "%+v", res)
	return refused.Response
}

// history returns the identifiers of the accepted operations, read through a daemon.
func history(t *testing.T, f *demonstrator.Fleet, vm int) []string {
	t.Helper()
	res, err := operatorClient(t, f, vm).History(t.Context(), operator.HistoryParams{Env: "trial"})
	require.NoError(t, err)
	past, ok := res.(*operator.History)
	require.True(t, ok, "%+v", res)
	var ids []string
	for _, c := range past.Changes {
		ids = append(ids, c.Operation)
	}
	return ids
}

// requireEverywhere requires that every daemon applies the revision within spreadBound after begin.
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

// watchRevisions polls the revisions of all daemons until the returned function is called.
// That function requires that no daemon went back to an earlier revision.
func watchRevisions(t *testing.T, f *demonstrator.Fleet) (end func()) {
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
