package faker_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/platform"
	"github.com/carawaytiller/carawaytiller/api/upstream"
	"github.com/carawaytiller/carawaytiller/faker"
)

// eventuallyTimeout is the longest that a test waits for an expected asynchronous event.
const eventuallyTimeout = 5 * time.Second

// TestMain fails when a fake leaves a goroutine behind after Close.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// manualClock is a clock that moves only when a test advances it.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) clock() tiller.Clock {
	return tiller.Clock{Now: func() tiller.Millis { return tiller.Millis(c.now.Load()) }}
}

func (c *manualClock) advance(d tiller.Millis) { c.now.Add(int64(d)) }

// http1 and http2 return a client for one protocol with its own connections.
func http1(t *testing.T) *http.Client { return client(t, (*http.Protocols).SetHTTP1) }
func http2(t *testing.T) *http.Client { return client(t, (*http.Protocols).SetUnencryptedHTTP2) }

func client(t *testing.T, set func(*http.Protocols, bool)) *http.Client {
	protocols := new(http.Protocols)
	set(protocols, true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

type starter interface {
	Start(address string) (string, error)
	Close()
}

func start(t *testing.T, s starter) string {
	address, err := s.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return "http://" + address
}

func startPlatform(t *testing.T, settings faker.StoreSettings, clock tiller.Clock) (*faker.Platform, *platform.Client) {
	p, err := faker.NewPlatform(settings, clock)
	require.NoError(t, err)
	c, err := platform.NewClient(start(t, p), platform.WithClient(http1(t)))
	require.NoError(t, err)
	return p, c
}

// searchShard returns one item whose key holds the arguments and whose body is the query's.
func searchShard(service, snapshot, shard, route string, body []byte, _ int) ([]tiller.Item, error) {
	return []tiller.Item{{Key: service + "/" + snapshot + "/" + shard + "/" + route, Score: 1, Body: body}}, nil
}

// settings returns the settings of an upstream without cold start that serves one snapshot of two shards.
func settings() faker.UpstreamSettings {
	return faker.UpstreamSettings{
		Name:     "u1",
		Slots:    2,
		Holdings: []faker.Holding{{Service: "bulletin", Snapshot: "n1", Shards: []string{"s1", "s2"}}},
		Search:   searchShard,
	}
}

func startUpstream(t *testing.T, s faker.UpstreamSettings, c tiller.Clock) (*faker.Upstream, string) {
	u, err := faker.NewUpstream(s, c)
	require.NoError(t, err)
	return u, start(t, u)
}

func newSearchClient(t *testing.T, address string, h *http.Client) *upstream.Client {
	c, err := upstream.NewClient(address, upstream.WithClient(h))
	require.NoError(t, err)
	return c
}

func request(id string) *upstream.SearchRequest {
	return &upstream.SearchRequest{
		ID: id, Attempt: 7, Service: "bulletin", Snapshot: "n1", Shards: []string{"s1", "s2"},
		Route: "search", Body: []byte(`{"text":"` + id + `"}`), Limit: 10, DeadlineMillis: 5000,
	}
}

// searchNow sends one request. It returns the results, the refusal, or the error when there was no response.
func searchNow(ctx context.Context, c *upstream.Client, r *upstream.SearchRequest) (*upstream.SearchResponse, *upstream.SearchError, error) {
	res, err := c.Search(ctx, r)
	switch res := res.(type) {
	case *upstream.SearchResponse:
		return res, nil, err
	case *upstream.SearchErrorStatusCode:
		return nil, &res.Response, err
	}
	return nil, nil, err
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, eventuallyTimeout, time.Millisecond)
}
