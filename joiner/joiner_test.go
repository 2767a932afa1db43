package joiner_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
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
	"github.com/carawaytiller/carawaytiller/faker"
)

const (
	// waitLimit bounds each wait of a test. A passing test waits for much less.
	waitLimit = 15 * time.Second
	// spreadBound is the time within which 8 daemons have applied an accepted change.
	spreadBound = 2 * time.Second
	// takeoverBound is twice the time within which a new owner takes over.
	takeoverBound = 4 * time.Second
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startFleet starts 8 daemons with a service of three shards, each on two upstreams.
func startFleet(t *testing.T) *demonstrator.Fleet {
	t.Helper()
	doc := &tiller.Document{Environment: "production", Revision: 1, Seats: 8}
	n := tiller.Snapshot{Name: "n1"}
	for i, name := range []string{"a", "b", "c"} {
		doc.Domains = append(doc.Domains, tiller.Domain{Name: name, Region: "r"})
		doc.Upstreams = append(doc.Upstreams, tiller.Upstream{
			Name: "u" + name, Domain: name, Slots: 4, Connections: 10, ConnectMillis: 1, ColdSlots: 4,
		})
		n.Shards = append(n.Shards, tiller.Shard{Name: name, Upstreams: []string{"u" + name, "u" + string("bca"[i])}})
	}
	doc.Services = []tiller.Service{{
		Name: "index", Current: "n1", Snapshots: []tiller.Snapshot{n}, WaitFor: tiller.WaitForCoverage,
		Routes: []tiller.Route{{Name: "search", Repeatable: true}}, NeededCoverage: 1,
		DeadlineMillis: 5 * tiller.Second, Limit: 10, QueueLimit: 100, HedgePercent: 5, RetryPercent: 10,
	}}
	find := func(_, _, shard, _ string, body []byte, _ int) ([]tiller.Item, error) {
		return []tiller.Item{{Key: shard, Score: 1, Body: body}}, nil
	}
	f, err := demonstrator.Start(demonstrator.Config{
		Clock: tiller.SystemClock(), Logger: logr.Discard(), Document: doc,
		Upstream: demonstrator.DefaultUpstream(find), PropagationMillis: 1,
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		f.Close()
	})
	return f
}

func operatorOf(t *testing.T, f *demonstrator.Fleet, vm int) *operator.Client {
	t.Helper()
	c, err := operator.NewClient("http://" + f.Daemon(vm).OperatorAddress())
	require.NoError(t, err)
	return c
}

// putDocument replaces the document through the daemon of a VM.
func putDocument(t *testing.T, f *demonstrator.Fleet, vm int, operation, text string, expected int64) operator.PutDocumentRes {
	t.Helper()
	change := &operator.Change{Operation: operation, Operator: "op", ExpectedRevision: expected, Text: text}
	res, err := operatorOf(t, f, vm).PutDocument(t.Context(), change, operator.PutDocumentParams{Env: "production"})
	require.NoError(t, err)
	return res
}

// documentWithDomainOut returns the text of the fleet's document with the failure domain "a" marked as out.
func documentWithDomainOut(t *testing.T, f *demonstrator.Fleet) string {
	t.Helper()
	doc := *f.Document
	doc.Domains = append([]tiller.Domain{{Name: "a", Region: "r", Out: true}}, doc.Domains[1:]...)
	text, err := decoder.Encode(&doc)
	require.NoError(t, err)
	return string(text)
}

// query sends a query, which needs every shard, through the daemon of a VM.
func query(t *testing.T, f *demonstrator.Fleet, vm int, id string) error {
	t.Helper()
	c, err := caller.NewClient("http://" + f.Daemon(vm).CallerAddress())
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	_, err = c.Query(ctx, &caller.Query{
		ID: id, Caller: "c", Service: "index", Route: "search", Body: jx.Raw("1"), DeadlineMillis: 1500,
	})
	return err
}

// Guards against a change that is accepted but not applied by every daemon, concurrent changes that overwrite each
// other, and new work for upstreams of a failure domain that is out.
func TestDocumentChange(t *testing.T) {
	f := startFleet(t)
	require.Eventually(t, func() bool { return query(t, f, 0, "warm") == nil }, waitLimit, 20*time.Millisecond)
	text := documentWithDomainOut(t, f)
	results := make([]operator.PutDocumentRes, 4)
	var tasks sync.WaitGroup
	for i := range results {
		tasks.Go(func() { results[i] = putDocument(t, f, i, string(rune('a'+i)), text, 1) })
	}
	tasks.Wait()
	accepted := 0
	for _, res := range results {
		switch res := res.(type) {
		case *operator.Accepted:
			accepted++
			require.EqualValues(t, 2, res.Revision)
		case *operator.ErrorStatusCode:
			require.Equal(t, http.StatusConflict, res.StatusCode)
			require.Equal(t, operator.ErrorVerdictNotRun, res.Response.Verdict)
			require.EqualValues(t, 2, res.Response.Revision.Value)
			require.Equal(t, text, res.Response.Text.Value)
		}
	}
	require.Equal(t, 1, accepted)
	for vm := range f.Members {
		require.Eventually(t, func() bool {
			status, err := operatorOf(t, f, vm).Status(t.Context())
			return err == nil && status.Revision == 2
		}, spreadBound, 5*time.Millisecond, "daemon %d", vm)
	}
	before := f.Fakes.Upstreams["ua"].Counts().Run
	for vm := range f.Members {
		require.NoError(t, query(t, f, vm, "out"))
	}
	require.Equal(t, before, f.Fakes.Upstreams["ua"].Counts().Run)

	res := putDocument(t, f, 5, "faulty", strings.Replace(text, `"Slots": 4`, `"Slots": -4`, 1), 2)
	refused := res.(*operator.ErrorStatusCode)
	require.Equal(t, http.StatusUnprocessableEntity, refused.StatusCode)
	require.Len(t, refused.Response.Faults, 2, "every fault is reported: Slots is negative, and ColdSlots exceeds Slots")
	require.Contains(t, refused.Response.Faults[0], "Upstreams[0].Slots")
}

// Guards against a fleet that cannot answer during an outage of the store, and against a service that gets
// no new owner when the daemon that owns it is closed.
func TestLossOfStoreAndOwner(t *testing.T) {
	f := startFleet(t)
	require.Eventually(t, func() bool { return query(t, f, 0, "warm") == nil }, waitLimit, 20*time.Millisecond)
	f.Fakes.Platform.Store.SetFaults(faker.StoreFaults{Outage: true})
	for vm := range f.Members {
		require.NoError(t, query(t, f, vm, "outage"))
	}
	owner := ownerOf(t, f)
	f.Members[owner].Close()
	f.Members[owner] = nil
	lost := time.Now()
	entry := (owner + 1) % 8
	require.Eventually(t, func() bool { return query(t, f, entry, "lost") == nil }, waitLimit, 20*time.Millisecond)
	require.Less(t, time.Since(lost), takeoverBound)
	f.Fakes.Platform.Store.SetFaults(faker.StoreFaults{})
	require.IsType(t, &operator.Accepted{}, putDocument(t, f, entry, "after", documentWithDomainOut(t, f), 1))
}

// ownerOf returns the VM whose daemon owns the service.
func ownerOf(t *testing.T, f *demonstrator.Fleet) int {
	t.Helper()
	for vm := range f.Members {
		status, err := operatorOf(t, f, vm).Status(t.Context())
		require.NoError(t, err)
		if len(status.Units) > 0 && status.Units[0].Owned {
			return vm
		}
	}
	require.FailNow(t, "no owner")
	return -1
}

// Guards against a seat that two processes hold, and against a restarted daemon that accepts tokens
// of its previous incarnation.
func TestRestartKeepsOneHolderPerSeat(t *testing.T) {
	f := startFleet(t)
	seats := map[int]bool{}
	for _, m := range f.Members {
		seats[m.Seat()] = true
	}
	require.Len(t, seats, 8)
	seat := f.Members[2].Seat()
	c, err := caller.NewClient("http://" + f.Daemon(2).CallerAddress())
	require.NoError(t, err)
	old, err := c.IssueToken(t.Context())
	require.NoError(t, err)
	require.NoError(t, f.StopDaemon(t.Context(), 2))
	require.NoError(t, f.StartDaemon(2))
	require.Equal(t, seat, f.Members[2].Seat(), "a restarted daemon claims the only free seat")
	c, err = caller.NewClient("http://" + f.Daemon(2).CallerAddress())
	require.NoError(t, err)
	fresh, err := c.IssueToken(t.Context())
	require.NoError(t, err)
	require.NotEqual(t, incarnationOf(old.Token), incarnationOf(fresh.Token))
}

func incarnationOf(token string) string {
	return strings.Split(token, ".")[1]
}
