package faker_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
	"github.com/carawaytiller/carawaytiller/faker"
)

// protocols maps the protocols that an upstream serves to their clients.
var protocols = map[string]func(*testing.T) *http.Client{"HTTP/1.1": http1, "HTTP/2": http2}

// TestUpstreamSearch guards against responses that don't echo the request or omit a shard,
// and against runs of requests that must be refused.
func TestUpstreamSearch(t *testing.T) {
	tests := []struct {
		name   string
		change func(*upstream.SearchRequest)
		want   *upstream.SearchError
	}{
		{"served", func(*upstream.SearchRequest) {}, nil},
		{"other snapshot", func(r *upstream.SearchRequest) { r.Snapshot = "n2" }, &upstream.SearchError{Reason: upstream.SearchErrorReasonNoSnapshot}},
		{"other shard", func(r *upstream.SearchRequest) { r.Shards[1] = "s3" }, &upstream.SearchError{Reason: upstream.SearchErrorReasonNoShard}},
		{"deadline passed", func(r *upstream.SearchRequest) { r.DeadlineMillis = 0 }, &upstream.SearchError{Reason: upstream.SearchErrorReasonTimeout}},
	}
	for protocol, h := range protocols {
		u, address := startUpstream(t, settings(), tiller.SystemClock())
		c := newSearchClient(t, address, h(t))
		for _, tt := range tests {
			t.Run(protocol+" "+tt.name, func(t *testing.T) {
				r := request(tt.name)
				tt.change(r)
				res, refused, err := searchNow(context.Background(), c, r)
				require.NoError(t, err)
				if tt.want != nil {
					require.Equal(t, tt.want.Reason, refused.Reason)
					require.False(t, refused.Ran)
					require.Empty(t, u.Runs("search")[r.ID])
					return
				}
				item := func(shard string) []upstream.Item {
					return []upstream.Item{{Key: "bulletin/n1/" + shard + "/search", Score: 1, Body: r.Body}}
				}
				require.Equal(t, &upstream.SearchResponse{
					ID: r.ID, Attempt: 7, Snapshot: "n1", Incarnation: 1,
					Shards: []upstream.ShardItems{{Shard: "s1", Items: item("s1")}, {Shard: "s2", Items: item("s2")}},
				}, res)
				require.Equal(t, map[string]int{r.ID: 1}, u.Runs("search"))
			})
		}
	}
}

// burst sends n requests concurrently and returns how many ended with each reason;
// "" stands for results and "lost" for no response.
func burst(c *upstream.Client, n int) map[string]int {
	var mu sync.Mutex
	var all sync.WaitGroup
	ends := map[string]int{}
	for i := range n {
		all.Go(func() {
			_, refused, err := searchNow(context.Background(), c, request(fmt.Sprint("burst-", i)))
			end := ""
			if refused != nil {
				end = string(refused.Reason)
			}
			if err != nil {
				end = "lost"
			}
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
	}
	all.Wait()
	return ends
}

// TestUpstreamSlots guards against more concurrent requests than slots, and against an unbounded queue.
func TestUpstreamSlots(t *testing.T) {
	s := settings()
	s.QueueLimit = 3
	s.ServiceMillis = 400
	u, address := startUpstream(t, s, tiller.SystemClock())
	ends := burst(newSearchClient(t, address, http2(t)), 9)
	require.Equal(t, map[string]int{"": 5, "Shed": 4}, ends)
	counts := u.Counts()
	require.Equal(t, 2, counts.GreatestInFlight)
	require.Equal(t, 6, counts.GreatestOutstanding, "2 run, 3 wait, and a shed request counts as one more")
	require.Equal(t, 5, counts.Run)
	require.Equal(t, 4, counts.Shed)
	require.Equal(t, 0, counts.InFlight)
}

// TestUpstreamDeadline guards against work after the deadline, against slots that a request still occupies
// after its deadline passed or its client disconnected, and against a wrong Ran in the refusal.
func TestUpstreamDeadline(t *testing.T) {
	for protocol, h := range protocols {
		t.Run(protocol, func(t *testing.T) {
			s := settings()
			s.Slots = 1
			s.QueueLimit = 2
			s.ServiceMillis = 60_000
			u, address := startUpstream(t, s, tiller.SystemClock())
			c := newSearchClient(t, address, h(t))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			gone := make(chan error)
			go func() {
				_, _, err := searchNow(ctx, c, request("gone"))
				gone <- err
			}()
			eventually(t, func() bool { return u.Counts().InFlight == 1 })
			queued := make(chan error)
			queuedCtx, leave := context.WithCancel(context.Background())
			defer leave()
			go func() {
				_, _, err := searchNow(queuedCtx, c, request("queued"))
				queued <- err
			}()
			eventually(t, func() bool { return u.Counts().Waiting == 1 })

			r := request("waits")
			r.DeadlineMillis = 30
			_, refused, err := searchNow(context.Background(), c, r)
			require.NoError(t, err)
			require.Equal(t, upstream.SearchErrorReasonTimeout, refused.Reason)
			require.False(t, refused.Ran)

			require.Equal(t, map[string]int{"gone": 1}, u.Runs("search"), "a request that times out in the queue starts no other request")

			cancel()
			require.ErrorIs(t, <-gone, context.Canceled)
			eventually(t, func() bool { return u.Runs("search")["queued"] == 1 })
			leave()
			require.ErrorIs(t, <-queued, context.Canceled)
			eventually(t, func() bool { return u.Counts().InFlight == 0 })

			r.ID = "runs"
			_, refused, err = searchNow(context.Background(), c, r)
			require.NoError(t, err)
			require.Equal(t, upstream.SearchErrorReasonTimeout, refused.Reason)
			require.True(t, refused.Ran)
			require.Equal(t, map[string]int{"gone": 1, "queued": 1, "runs": 1}, u.Runs("search"))
			require.Equal(t, 2, u.Counts().Cancelled)
			require.Equal(t, 1, u.Counts().GreatestInFlight)
		})
	}
}

// TestUpstreamConnections guards against connections beyond the limit and against a missing connect delay.
func TestUpstreamConnections(t *testing.T) {
	s := settings()
	s.Connections = 1
	s.ConnectMillis = 60
	u, address := startUpstream(t, s, tiller.SystemClock())
	first := http2(t)
	c := newSearchClient(t, address, first)
	begin := time.Now()
	_, err := c.Health(context.Background())
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(begin), 60*time.Millisecond)

	second, err := net.Dial("tcp", strings.TrimPrefix(address, "http://"))
	require.NoError(t, err)
	defer func() { _ = second.Close() }()
	require.NoError(t, second.SetReadDeadline(time.Now().Add(eventuallyTimeout)))
	_, err = second.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, faker.ConnectionCounts{Open: 1, Greatest: 1, Accepted: 1, Refused: 1}, u.Counts().Connections)

	first.CloseIdleConnections()
	eventually(t, func() bool { return u.Counts().Connections.Open == 0 })
	_, err = newSearchClient(t, address, http1(t)).Health(context.Background())
	require.NoError(t, err)
}

// TestUpstreamColdStart guards against a cold upstream that survives full load and a cold start that never ends.
func TestUpstreamColdStart(t *testing.T) {
	var clock manualClock
	s := settings()
	s.Slots = 6
	s.ColdSlots = 2
	s.ColdRequests = 3
	s.ColdMillis = 10_000
	s.RestartMillis = 200
	s.ServiceMillis = 200
	u, address := startUpstream(t, s, clock.clock())
	c := newSearchClient(t, address, http2(t))

	require.Equal(t, map[string]int{"lost": 3}, burst(c, 3))
	require.Equal(t, 3, u.Counts().GreatestColdInFlight)
	require.Equal(t, 1, u.Counts().Crashes)
	_, err := net.Dial("tcp", strings.TrimPrefix(address, "http://"))
	require.Error(t, err, "connections are refused while the upstream restarts")

	eventually(t, func() bool { return u.Counts().Incarnation == 2 })
	restarted := func() bool {
		_, err := c.Health(context.Background())
		return err == nil
	}
	eventually(t, restarted)
	require.Equal(t, map[string]int{"": 2}, burst(c, 2))
	res, _, err := searchNow(context.Background(), c, request("third"))
	require.NoError(t, err)
	require.False(t, res.Cold, "three completed requests end the cold start")
	require.EqualValues(t, 2, res.Incarnation)
	require.Equal(t, map[string]int{"": 6}, burst(c, 6))

	u.GoCold()
	require.True(t, u.Counts().Cold)
	clock.advance(10_000)
	require.False(t, u.Counts().Cold, "time ends the cold start")
	require.Equal(t, 1, u.Counts().Crashes)
}

// TestUpstreamFaults guards against response faults that do not have the documented effect.
func TestUpstreamFaults(t *testing.T) {
	const slow = 80 * time.Millisecond
	tests := []struct {
		name   string
		faults faker.UpstreamFaults
		want   upstream.SearchErrorReason
		ran    bool
		slow   bool
	}{
		{"none", faker.UpstreamFaults{}, "", false, false},
		{"draining", faker.UpstreamFaults{Draining: true}, upstream.SearchErrorReasonDraining, false, false},
		{"shed", faker.UpstreamFaults{Shed: true}, upstream.SearchErrorReasonShed, false, false},
		{"fail", faker.UpstreamFaults{Fail: 1}, upstream.SearchErrorReasonUpstreamError, true, false},
		{"fail on this route", faker.UpstreamFaults{Routes: map[string]faker.RouteFaults{"search": {Fail: 1}}}, upstream.SearchErrorReasonUpstreamError, true, false},
		{"fail on another route", faker.UpstreamFaults{Routes: map[string]faker.RouteFaults{"print": {Fail: 1}}}, "", false, false},
		{"slow", faker.UpstreamFaults{ServiceMillis: 80}, "", false, true},
		{"slow on this route", faker.UpstreamFaults{Routes: map[string]faker.RouteFaults{"search": {ServiceMillis: 80}}}, "", false, true},
		{"straggler", faker.UpstreamFaults{ServiceMillis: 2, StragglerEvery: 1, StragglerFactor: 40}, "", false, true},
		{"poison of another body", faker.UpstreamFaults{Poison: "harmful"}, "", false, false},
	}
	u, address := startUpstream(t, settings(), tiller.SystemClock())
	c := newSearchClient(t, address, http2(t))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u.SetFaults(tt.faults)
			begin := time.Now()
			res, refused, err := searchNow(context.Background(), c, request(tt.name))
			require.NoError(t, err)
			if tt.slow {
				require.GreaterOrEqual(t, time.Since(begin), slow)
			}
			if tt.want == "" {
				require.Equal(t, tt.name, res.ID)
				return
			}
			require.Equal(t, tt.want, refused.Reason)
			require.Equal(t, tt.ran, refused.Ran)
			runs := map[bool]int{true: 1}
			require.Equal(t, runs[tt.ran], u.Runs("search")[tt.name])
		})
	}
}

// TestUpstreamShares guards against straggler and failure rates that are not those set, or that vary for one seed.
func TestUpstreamShares(t *testing.T) {
	var stragglers, failed []int
	for range 2 {
		u, address := startUpstream(t, settings(), tiller.SystemClock())
		u.SetFaults(faker.UpstreamFaults{StragglerEvery: 10, Fail: 0.2})
		c := newSearchClient(t, address, http2(t))
		for i := range 400 {
			_, _, err := searchNow(context.Background(), c, request(fmt.Sprint(i)))
			require.NoError(t, err)
		}
		stragglers = append(stragglers, u.Counts().Stragglers)
		failed = append(failed, u.Counts().Failed)
	}
	require.Equal(t, stragglers[0], stragglers[1])
	require.Equal(t, failed[0], failed[1])
	require.InDelta(t, 40, stragglers[0], 15)
	require.InDelta(t, 80, failed[0], 25)
}

// TestUpstreamSilent guards against silent connections that still carry a request or a response or are closed,
// and against new connections that don't work.
func TestUpstreamSilent(t *testing.T) {
	for protocol, h := range protocols {
		t.Run(protocol, func(t *testing.T) {
			u, address := startUpstream(t, settings(), tiller.SystemClock())
			u.SetFaults(faker.UpstreamFaults{ServiceMillis: 100})
			old := newSearchClient(t, address, h(t))
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			unanswered := make(chan error)
			go func() {
				_, _, err := searchNow(ctx, old, request("unanswered"))
				unanswered <- err
			}()
			eventually(t, func() bool { return u.Counts().InFlight == 1 })
			u.SetFaults(faker.UpstreamFaults{Silent: true})
			eventually(t, func() bool { return u.Counts().Completed == 1 })
			lost := make(chan error)
			go func() {
				_, _, err := searchNow(ctx, old, request("lost"))
				lost <- err
			}()
			if protocol == "HTTP/1.1" {
				// The old connection is still waiting for a response, so the client opens a new one, which works.
				require.NoError(t, <-lost)
			} else {
				require.ErrorIs(t, <-lost, context.DeadlineExceeded)
				require.Empty(t, u.Runs("search")["lost"], "a request on a silent connection does not run")
			}
			res, _, err := searchNow(context.Background(), newSearchClient(t, address, h(t)), request("new"))
			require.NoError(t, err)
			require.Equal(t, "new", res.ID)
			require.ErrorIs(t, <-unanswered, context.DeadlineExceeded)
		})
	}
}

// TestUpstreamMismatch guards against a Mismatch response that lacks the previous request's identifier.
func TestUpstreamMismatch(t *testing.T) {
	u, address := startUpstream(t, settings(), tiller.SystemClock())
	c := newSearchClient(t, address, http2(t))
	var got []string
	for i, mismatch := range []bool{false, true, true, false} {
		u.SetFaults(faker.UpstreamFaults{Mismatch: mismatch})
		res, _, err := searchNow(context.Background(), c, request(fmt.Sprint("r", i)))
		require.NoError(t, err)
		got = append(got, res.ID)
	}
	require.Equal(t, []string{"r0", "r0", "r1", "r3"}, got)
}

// TestUpstreamPoison guards against a poison request that does not crash the upstream,
// and against a crash that answers the other requests instead of aborting them.
func TestUpstreamPoison(t *testing.T) {
	s := settings()
	s.ServiceMillis = 60_000
	u, address := startUpstream(t, s, tiller.SystemClock())
	c := newSearchClient(t, address, http2(t))
	bystander := make(chan error)
	go func() {
		_, _, err := searchNow(context.Background(), c, request("bystander"))
		bystander <- err
	}()
	eventually(t, func() bool { return u.Counts().InFlight == 1 })
	u.SetFaults(faker.UpstreamFaults{Poison: "harmful"})
	_, _, err := searchNow(context.Background(), newSearchClient(t, address, http1(t)), request("harmful"))
	require.Error(t, err)
	require.Error(t, <-bystander)
	eventually(t, func() bool { return u.Counts().Incarnation == 2 })
	require.Equal(t, 1, u.Counts().Crashes)
	require.Equal(t, map[string]int{"bystander": 1, "harmful": 1}, u.Runs("search"))
}

// TestUpstreamInProcess guards against a crash that aborts only requests received over a connection.
func TestUpstreamInProcess(t *testing.T) {
	s := settings()
	s.ServiceMillis = 60_000
	u, err := faker.NewUpstream(s, tiller.SystemClock())
	require.NoError(t, err)
	defer u.Close()
	ended := make(chan error)
	go func() {
		_, err := u.Search(context.Background(), request("r1"))
		ended <- err
	}()
	eventually(t, func() bool { return u.Counts().InFlight == 1 })
	u.Crash()
	require.ErrorContains(t, <-ended, "crashed")
	eventually(t, func() bool { return u.Counts().Incarnation == 2 })
}

// TestUpstreamReports guards against load reports without LoadLagMillis and health reports that ignore Unhealthy.
func TestUpstreamReports(t *testing.T) {
	var clock manualClock
	s := settings()
	s.ServiceMillis = 60_000
	u, address := startUpstream(t, s, clock.clock())
	u.SetFaults(faker.UpstreamFaults{LoadLagMillis: 500, Unhealthy: true})
	c := newSearchClient(t, address, http2(t))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	clock.advance(1000)
	go func() {
		defer close(done)
		_, _, _ = searchNow(ctx, c, request("long"))
	}()
	eventually(t, func() bool { return u.Counts().InFlight == 1 })
	inFlight := func() int {
		l, err := c.Load(context.Background())
		require.NoError(t, err)
		require.Equal(t, 2, l.Slots)
		return l.InFlight
	}
	clock.advance(499)
	require.Equal(t, 0, inFlight())
	clock.advance(1)
	require.Equal(t, 1, inFlight())
	cancel()
	<-done
	eventually(t, func() bool { return u.Counts().InFlight == 0 })
	require.Equal(t, 1, inFlight())
	health, err := c.Health(context.Background())
	require.NoError(t, err)
	require.Equal(t, upstream.Health{Healthy: false, Incarnation: 1}, *health)
}

// TestControl guards against faults that can't be replaced over HTTP, and against misspelt fields being accepted.
func TestControl(t *testing.T) {
	u, err := faker.NewUpstream(settings(), tiller.SystemClock())
	require.NoError(t, err)
	defer u.Close()
	s, err := faker.NewStore(faker.StoreSettings{}, tiller.SystemClock())
	require.NoError(t, err)
	defer s.Close()
	tests := []struct {
		handler      http.Handler
		method, path string
		body         string
		status       int
		answer       string
	}{
		{u.Control(), "PUT", "/fault", `{"Drainin": true}`, http.StatusBadRequest, "unknown field"},
		{u.Control(), "PUT", "/fault", `{"Draining": true, "Routes": {"print": {"ServiceMillis": 5}}}`, http.StatusNoContent, ""},
		{u.Control(), "GET", "/fault", "", http.StatusOK, `"Draining":true`},
		{u.Control(), "PUT", "/fault", `{"Fail": 0.5}`, http.StatusNoContent, ""},
		{u.Control(), "GET", "/fault", "", http.StatusOK, `"Draining":false`},
		{u.Control(), "POST", "/crash", "", http.StatusNoContent, ""},
		{u.Control(), "GET", "/counts", "", http.StatusOK, `"Crashes":1`},
		{s.Control(), "PUT", "/fault", `{"LoseReplies": 2}`, http.StatusNoContent, ""},
		{s.Control(), "GET", "/fault", "", http.StatusOK, `"LoseReplies":2`},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		tt.handler.ServeHTTP(w, httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body)))
		require.Equal(t, tt.status, w.Code, tt)
		body, err := io.ReadAll(w.Body)
		require.NoError(t, err)
		require.Contains(t, string(body), tt.answer)
	}
}
