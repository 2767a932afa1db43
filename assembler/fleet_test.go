package assembler_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/jx"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/assembler"
	"github.com/carawaytiller/carawaytiller/demonstrator"
	"github.com/carawaytiller/carawaytiller/faker"
)

// waitTimeout bounds each wait of a test; a passing test waits for much less.
const waitTimeout = 15 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// shardCount is the number of shards of the service "index"; shard i is on upstream i only.
const shardCount = 4

// document returns a document with two services: "index" with four shards, and "printer" with one shard on
// two upstreams.
func document(seats int) *tiller.Document {
	doc := &tiller.Document{Environment: "trial", Revision: 1, Seats: seats}
	doc.Domains = []tiller.Domain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "r"}}
	add := func(name string) {
		domain := doc.Domains[len(doc.Upstreams)%len(doc.Domains)].Name
		doc.Upstreams = append(doc.Upstreams, tiller.Upstream{
			Name: name, Domain: domain, Slots: 4, Connections: 10, ConnectMillis: 1, ColdSlots: 4,
		})
	}
	index := tiller.Snapshot{Name: "n1"}
	for i := range shardCount {
		name := fmt.Sprint("index-", i)
		add(name)
		index.Shards = append(index.Shards, tiller.Shard{Name: fmt.Sprint("s", i), Upstreams: []string{name}})
	}
	add("printer-0")
	add("printer-1")
	printerSnapshot := tiller.Snapshot{Name: "n1", Shards: []tiller.Shard{{Name: "s0", Upstreams: []string{"printer-0", "printer-1"}}}}
	service := tiller.Service{
		Current: "n1", WaitFor: tiller.WaitForCoverage, NeededCoverage: 1, DeadlineMillis: 5 * tiller.Second,
		Limit: 100, QueueLimit: 1000, HedgePercent: 5, RetryPercent: 10,
	}
	indexService, printerService := service, service
	indexService.Name, indexService.Snapshots = "index", []tiller.Snapshot{index}
	indexService.Routes = []tiller.Route{{Name: "search", Repeatable: true}}
	printerService.Name, printerService.Snapshots = "printer", []tiller.Snapshot{printerSnapshot}
	printerService.Routes = []tiller.Route{{Name: "print", Single: true}}
	doc.Services = []tiller.Service{indexService, printerService}
	return doc
}

// searchShard returns one item, whose key is the shard and whose body is that of the query.
func searchShard(_, _, shard, _ string, body []byte, _ int) ([]tiller.Item, error) {
	return []tiller.Item{{Key: shard, Score: 1, Body: body}}, nil
}

// startFleet starts a fleet and waits until daemon 0 answers a query to the service "index".
func startFleet(t *testing.T, seats int, tune func(*faker.UpstreamSettings)) *demonstrator.Fleet {
	t.Helper()
	upstream := demonstrator.DefaultUpstream(searchShard)
	upstream.ColdRequests = 1
	if tune != nil {
		tune(&upstream)
	}
	f, err := demonstrator.Start(demonstrator.Config{
		Clock: tiller.SystemClock(), Logger: logr.Discard(), Document: document(seats), Upstream: upstream, DrainMillis: 300, PropagationMillis: 1,
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		f.Close()
	})
	require.Eventually(t, func() bool {
		_, err := ask(t.Context(), f.Daemon(0), query("warm", `"warm"`))
		return err == nil
	}, waitTimeout, 20*time.Millisecond)
	return f
}

func query(id, body string) *caller.Query {
	return &caller.Query{
		ID: id, Caller: "c", Service: "index", Route: "search", Body: jx.Raw(body), DeadlineMillis: 3000,
		Repeatable: caller.NewOptBool(true),
	}
}

func printQuery(id, token string) *caller.Query {
	q := query(id, `"label"`)
	q.Service, q.Route = "printer", "print"
	q.Repeatable = caller.NewOptBool(false)
	q.Token = caller.NewOptString(token)
	return q
}

func client(d *assembler.Daemon) *caller.Client {
	c, err := caller.NewClient("http://" + d.CallerAddress())
	if err != nil {
		panic(err)
	}
	return c
}

func ask(ctx context.Context, d *assembler.Daemon, q *caller.Query) (*caller.Answer, error) {
	return client(d).Query(ctx, q)
}

// requireRefusal sends a query and requires that it is refused.
func requireRefusal(t *testing.T, d *assembler.Daemon, q *caller.Query) caller.Refusal {
	t.Helper()
	_, err := ask(t.Context(), d, q)
	var refusal *caller.RefusalStatusCode
	require.True(t, errors.As(err, &refusal), "got %v", err)
	return refusal.Response
}

// requireItemsFor requires that every item of an answer was made for the query with the given body.
func requireItemsFor(t *testing.T, a *caller.Answer, body string) {
	t.Helper()
	for _, item := range a.Items {
		require.True(t, bytes.Equal([]byte(body), item.Body), "an item for %s in the answer to %s", item.Body, body)
	}
}
