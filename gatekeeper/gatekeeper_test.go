package gatekeeper_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/merger"
	"github.com/carawaytiller/carawaytiller/platform/faker"
)

// changeTimeout is longer than any change takes to come into force on loopback.
const changeTimeout = 5 * time.Second

// requireGathered checks an answer of /all/ against a direct merge of the parts that it names. It
// returns the number of parts.
func requireGathered(t *testing.T, a answer, uri string) (parts int) {
	require.NoError(t, a.failure)
	require.Equal(t, http.StatusOK, a.status, a.body)
	records := merger.NewRecords(7)
	seen := make(map[string]bool)
	stamps := strings.Split(a.header.Get("X-Carawaytiller-Part-Stamps"), ", ")
	for _, stamp := range stamps {
		fields := strings.Split(stamp, ".")
		require.Len(t, fields, 3, stamp)
		require.Equal(t, a.id, fields[2], "a part of another request")
		require.False(t, seen[fields[0]], "two parts of one shard")
		seen[fields[0]] = true
		records.Add(faker.ResponseBody(fields[0], uri, 9))
	}
	missing, err := strconv.Atoi(a.header.Get("X-Carawaytiller-Missing-Parts"))
	require.NoError(t, err)
	require.Equal(t, shardCount, len(stamps)+missing)
	require.Equal(t, string(records.Bytes()), a.body)
	return len(stamps)
}

// Every daemon answers a query over all shards, in its own region and in others, with exactly the
// parts that the answer names.
func TestGather(t *testing.T) {
	f := newFleet(t)
	for i := range 30 {
		uri := fmt.Sprintf("/all/%d?q=%%2F", i)
		parts := requireGathered(t, f.request(f.daemons[i%3], "GET", uri, nil), uri)
		require.Equal(t, shardCount, parts)
	}
}

// A shard whose upstreams are all slow is left out at the target latency, and reported as missing.
func TestSlowShardIsLeftOut(t *testing.T) {
	f := newFleet(t)
	f.upstreams["i-2-0"].SetDelay(3 * time.Second)
	f.upstreams["i-2-1"].SetDelay(3 * time.Second)
	for _, d := range f.daemons {
		started := time.Now()
		require.Equal(t, shardCount-1, requireGathered(t, f.request(d, "GET", "/all/x", nil), "/all/x"))
		require.Less(t, time.Since(started), 900*time.Millisecond)
	}
}

// A request that must not run twice is forwarded unchanged, retried only after a rejection, and
// refused as not run only if it has not run.
func TestNonRepeatable(t *testing.T) {
	f := newFleet(t)
	single := f.upstreams["i-single"]
	a := f.request(f.daemons[1], "POST", "/one/a%2Fb?c=d", strings.NewReader("body"))
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, string(faker.ResponseBody("single", "/one/a%2Fb?c=d", 9)), a.body)
	require.Equal(t, 1, single.Runs(a.id))

	single.SetShed(true)
	a = f.request(f.daemons[0], "POST", "/one/1", strings.NewReader("body"))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Zero(t, single.Runs(a.id))

	single.SetShed(false)
	single.SetDelay(3 * time.Second)
	a = f.request(f.daemons[0], "POST", "/one/1", strings.NewReader("body"))
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.Equal(t, 1, single.Runs(a.id))
}

// Exceeded limits and unknown routes are reported with other statuses than failures.
func TestRefusals(t *testing.T) {
	f := newFleet(t)
	d := f.daemons[0]
	require.Equal(t, http.StatusNotFound, f.request(d, "GET", "/none/", nil).status)
	require.Equal(t, http.StatusRequestEntityTooLarge, f.request(d, "POST", "/one/1", strings.NewReader(strings.Repeat("x", 1001))).status)
	require.Equal(t, http.StatusBadRequest, f.send(d, "GET", "/all/1", "", nil).status)
	f.store.Remove("servers/i-single")
	require.Eventually(t, func() bool { return f.request(d, "GET", "/one/1", nil).status == http.StatusServiceUnavailable }, changeTimeout, 20*time.Millisecond)
	a := f.request(d, "GET", "/one/1", nil)
	require.Equal(t, "NoUpstream", a.reason(t))
	require.Equal(t, "0.25", a.header.Get("Retry-After"))
}

// A configuration comes into force on every daemon, also after a store outage and after the history of
// the store was compacted, and is never replaced by an older version.
func TestConfiguration(t *testing.T) {
	f := newFleet(t)
	inForce := func(prefix string) func() bool {
		return func() bool {
			for _, d := range f.daemons {
				if f.request(d, "GET", prefix+"1", nil).status != http.StatusOK {
					return false
				}
			}
			return true
		}
	}
	f.configure(3, "/new/")
	require.Eventually(t, inForce("/new/"), changeTimeout, 10*time.Millisecond)
	f.store.SetDown(true)
	time.Sleep(100 * time.Millisecond)
	require.True(t, inForce("/new/")(), "the known configuration stays in force while the store is down")
	f.configure(5, "/newer/")
	f.store.Compact()
	f.store.SetDown(false)
	require.Eventually(t, inForce("/newer/"), changeTimeout, 10*time.Millisecond)
	f.configure(4, "/old/")
	time.Sleep(400 * time.Millisecond)
	require.True(t, inForce("/newer/")())
}

// Guards against a store that comes back from a copy, after which no configuration came into force on any daemon again.
func TestConfigurationAfterReturnFromCopy(t *testing.T) {
	f := newFleet(t)
	f.store.SetEra(1)
	for version := 2; version < 10; version += 4 {
		c := f.store.Copy()
		for i := range 3 {
			f.configure(version+i, "")
		}
		time.Sleep(500 * time.Millisecond)
		f.store.SetDown(true)
		time.Sleep(200 * time.Millisecond)
		f.store.Restore(c)
		f.store.SetDown(false)
		prefix := fmt.Sprintf("/after-%d/", version)
		f.configure(version+3, prefix)
		f.daemons = append(f.daemons, f.start("south-a", fmt.Sprintf("vm-south-%d", version)))
		for _, d := range f.daemons {
			f.waitServed(d, prefix+"1")
		}
		f.waitAnnounced()
	}
}

// An upstream whose entry can no longer be parsed receives no more requests.
func TestUpstreamWithInvalidEntry(t *testing.T) {
	f := newFleet(t)
	f.addUpstream("i-other", "single", "north-a")
	f.store.Put("servers/i-single", `{"Service":"single","Address":7}`)
	require.Eventually(t, func() bool {
		before := f.upstreams["i-single"].TotalRuns()
		for _, d := range f.daemons {
			if f.request(d, "GET", "/one/1", nil).status != http.StatusOK {
				return false
			}
		}
		return f.upstreams["i-single"].TotalRuns() == before
	}, changeTimeout, 20*time.Millisecond)
}

// A daemon whose entry was removed writes it again.
func TestRemovedEntryIsWrittenAgain(t *testing.T) {
	f := newFleet(t)
	f.store.Remove("fleet/members/vm-east-a")
	f.waitAnnounced()
}

// A planned stop answers every request, including those that arrive before the platform stops sending
// new ones, and ends within the time allowed.
func TestStopAnswersEveryRequest(t *testing.T) {
	f := newFleet(t)
	f.upstreams["i-single"].SetDelay(300 * time.Millisecond)
	d := f.daemons[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failures []string
	started := time.Now()
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			sent := time.Since(started)
			a := f.send(d, "POST", "/one/1", fmt.Sprintf("stop-%d", i), strings.NewReader("body"))
			mu.Lock()
			defer mu.Unlock()
			if a.failure != nil || a.status != http.StatusOK {
				failures = append(failures, fmt.Sprintf("%d sent after %v, ended after %v: %d %q %v, ran %d times",
					i, sent, time.Since(started), a.status, a.body, a.failure, f.upstreams["i-single"].Runs(a.id)))
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	d.stop()
	require.Eventually(t, func() bool { return f.ready(d) != http.StatusOK }, time.Second, 5*time.Millisecond)
	wg.Wait()
	require.Empty(t, failures)
	require.NoError(t, <-d.exited)
	require.Less(t, time.Since(started), 4100*time.Millisecond)
	require.Len(t, f.store.Keys("fleet/members/"), 2)
}

// Guards against store calls that grow with the fleet: daemons that follow another one do not watch
// the store.
func TestFollowersDoNotWatchTheStore(t *testing.T) {
	f := newFleet(t)
	for i := range 4 {
		f.daemons = append(f.daemons, f.start("east-a", fmt.Sprintf("vm-east-%d", i)))
		f.waitReady(f.daemons[len(f.daemons)-1])
	}
	f.waitAnnounced()
	time.Sleep(time.Second)
	before := f.store.Calls("kv-watch")
	time.Sleep(2 * time.Second)
	// One daemon in each of three regions watches once a second.
	require.LessOrEqual(t, f.store.Calls("kv-watch")-before, 3*3)
	f.configure(9, "/late/")
	for _, d := range f.daemons {
		f.waitServed(d, "/late/1")
	}
}

// Guards against a stalled watch that leaves a whole region without changes. Exactly one daemon must
// take over from the one that watched: if all call the store at once, calls grow with the fleet, and
// the daemons bring a new configuration into force at different times.
func TestOneDaemonReplacesAStalledWatch(t *testing.T) {
	f := newFleet(t)
	proxy := newStoreProxy(f.store)
	daemons := f.startRegion(proxy, 8)
	require.Eventually(t, proxy.stallWatches, changeTimeout, time.Millisecond)
	stalledAt := time.Now()
	f.configure(7, "/late/")
	for _, d := range daemons {
		f.waitServed(d, "/late/1")
	}
	time.Sleep(time.Until(stalledAt.Add(4 * time.Second)))
	// The daemon that watched and its substitute watch once a second. On a busy machine a third one
	// may take over before the second has read the store. When all eight daemons watched, they made 31
	// watches.
	require.LessOrEqual(t, proxy.watchesSinceStall(), 3*4)
}

// proxyDelay is the delay that a storeProxy adds to a call.
const proxyDelay = 60 * time.Millisecond

// startRegion starts n daemons in a region of their own, which reach the store through proxy.
func (f *fleet) startRegion(proxy *storeProxy, n int) []*testDaemon {
	server := httptest.NewServer(proxy)
	f.t.Cleanup(server.Close)
	var daemons []*testDaemon
	for i := range n {
		daemons = append(daemons, f.startAt(server.Listener.Addr().String(), "south-a", fmt.Sprintf("vm-south-%d", i)))
	}
	f.daemons = append(f.daemons, daemons...)
	for _, d := range daemons {
		f.waitReady(d)
	}
	f.waitAnnounced()
	time.Sleep(1500 * time.Millisecond)
	return daemons
}

// While changes arrive one after another, a watch that returns none has stalled. The daemons must
// detect it within the time in which a change must be in force; TestTiming in package follower checks
// the margin.
func TestStalledWatchIsDetectedDuringChanges(t *testing.T) {
	f := newFleet(t)
	proxy := newStoreProxy(f.store)
	daemons := f.startRegion(proxy, 2)
	for i := range 10 {
		f.registerUpstream("i-busy", "busy", "east-a", "127.0.0.1:1", fmt.Sprintf("state-%d", i))
		time.Sleep(100 * time.Millisecond)
	}
	require.Eventually(t, proxy.stallWatches, changeTimeout, time.Millisecond)
	stalledAt := time.Now()
	f.configure(7, "/late/")
	for _, d := range daemons {
		f.waitServed(d, "/late/1")
	}
	// The time within which a change must be in force with the default settings.
	require.Less(t, time.Since(stalledAt), 3*time.Second)
}

// storeProxy forwards calls to a store after a delay. It can stall watches.
type storeProxy struct {
	store   *faker.Store
	mu      sync.Mutex
	stalled chan struct{}
	// pending is the number of watches without an answer, started the number of watches since the last
	// stall.
	pending, started int
}

func newStoreProxy(store *faker.Store) *storeProxy {
	return &storeProxy{store: store, stalled: make(chan struct{})}
}

// stallWatches leaves the pending watches without an answer. It returns false if there are none.
func (p *storeProxy) stallWatches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == 0 {
		return false
	}
	close(p.stalled)
	p.stalled, p.started = make(chan struct{}), 0
	return true
}

func (p *storeProxy) watchesSinceStall() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(proxyDelay)
	if !strings.Contains(r.URL.Path, "kv-watch") {
		p.store.ServeHTTP(w, r)
		return
	}
	p.mu.Lock()
	p.started++
	p.pending++
	stalled := p.stalled
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pending--
	}()
	recorded := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		p.store.ServeHTTP(recorded, r)
		close(done)
	}()
	select {
	case <-stalled:
		<-r.Context().Done()
		<-done
	case <-done:
		w.WriteHeader(recorded.Code)
		_, _ = w.Write(recorded.Body.Bytes())
	}
}

// The store may reject the calls of single daemons while it serves the others. Such a daemon receives
// changes from other daemons, and its queries reach the new routes.
func TestDaemonRejectedByStoreFollowsOthers(t *testing.T) {
	f := newFleet(t)
	var rejected atomic.Bool
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rejected.Load() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		f.store.ServeHTTP(w, r)
	}))
	t.Cleanup(proxy.Close)
	d := f.startAt(proxy.Listener.Addr().String(), "west-a", "vm-denied")
	f.daemons = append(f.daemons, d)
	f.waitReady(d)
	f.waitAnnounced()
	rejected.Store(true)
	f.configure(5, "/late/")
	f.waitServed(d, "/late/1")
	f.configure(6, "/later/")
	f.waitServed(d, "/later/1")
}

// The platform reads the metrics as text, operators' tools as JSON.
func TestMetrics(t *testing.T) {
	f := newFleet(t)
	requireGathered(t, f.request(f.daemons[0], "GET", "/all/1", nil), "/all/1")
	for path, want := range map[string]string{
		"/metrics":      "counter Answered.Gathered\n  count:               1\n",
		"/metrics.json": `"Answered.Gathered":{"count":1}`,
	} {
		resp, err := http.Get("http://" + f.daemons[0].settings.ReadyAddress + path)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Contains(t, string(body), want)
		require.Contains(t, string(body), "Log.Dropped")
	}
}
