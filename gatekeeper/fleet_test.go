package gatekeeper_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/executor"
	"github.com/carawaytiller/carawaytiller/gatekeeper"
	"github.com/carawaytiller/carawaytiller/platform"
	"github.com/carawaytiller/carawaytiller/platform/faker"
)

var domains = map[string]string{"east-a": "east", "north-a": "north", "west-a": "west", "south-a": "south"}

const shardCount = 6

// fleet is a store, upstreams and daemons on loopback.
type fleet struct {
	t         *testing.T
	store     *faker.Store
	address   string
	upstreams map[string]*faker.Upstream
	daemons   []*testDaemon
	client    *http.Client
	queries   int
}

// testDaemon is one daemon of a fleet.
type testDaemon struct {
	settings platform.Settings
	stop     context.CancelFunc
	exited   chan error
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: faker.NewStore(), upstreams: make(map[string]*faker.Upstream), client: &http.Client{Timeout: 5 * time.Second}}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.address = server.Listener.Addr().String()
	names := []string{"east-a", "north-a", "west-a"}
	for i := range shardCount {
		for j := range 2 {
			f.addUpstream(fmt.Sprintf("i-%d-%d", i, j), fmt.Sprintf("s-%d", i), names[(i+j)%3])
		}
	}
	f.addUpstream("i-single", "single", "east-a")
	f.configure(1, "")
	for _, domain := range names {
		f.daemons = append(f.daemons, f.start(domain, "vm-"+domain))
	}
	t.Cleanup(func() {
		for _, d := range f.daemons {
			d.stop()
		}
		for _, d := range f.daemons {
			<-d.exited
		}
	})
	for _, d := range f.daemons {
		f.waitReady(d)
	}
	f.waitAnnounced()
	return f
}

func (f *fleet) addUpstream(id, service, domain string) {
	u := faker.NewUpstream(id, service, 9)
	server := httptest.NewServer(u)
	f.t.Cleanup(server.Close)
	f.upstreams[id] = u
	f.registerUpstream(id, service, domain, server.Listener.Addr().String(), "ready")
}

func (f *fleet) registerUpstream(id, service, domain, address, state string) {
	f.store.Put("servers/"+id, fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":2,"State":%q,"ColdMs":0,"Sequence":1}`, service, address, domain, state))
}

// configure stores a configuration with the routes /all/ and /one/, and a third with the prefix extra
// if that is not empty.
func (f *fleet) configure(version int, extra string) {
	var shards []string
	for i := range shardCount {
		shards = append(shards, fmt.Sprintf("%q", fmt.Sprintf("s-%d", i)))
	}
	routes := []string{
		fmt.Sprintf(`{"Name":"all","Host":"h","Prefix":"/all/","RouteType":"idempotent","TimeoutMs":1000,"TargetLatencyMs":300,"Gather":[%s],"Attempts":2,"TopK":7,"MinCoverage":0.8}`, strings.Join(shards, ",")),
		`{"Name":"one","Host":"h","Prefix":"/one/","RouteType":"non_idempotent","TimeoutMs":2000,"TargetLatencyMs":300,"Service":"single","Attempts":2}`,
	}
	if extra != "" {
		routes = append(routes, fmt.Sprintf(`{"Name":"extra","Host":"h","Prefix":%q,"RouteType":"idempotent","TimeoutMs":2000,"TargetLatencyMs":300,"Service":"single","Attempts":2}`, extra))
	}
	f.store.Put("op/config", fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[],"Limits":{"MaxBodyBytes":1000}}`, version, strings.Join(routes, ",")))
}

// A connection that another daemon has opened ahead must stay open until its first sub-query, which may come minutes
// later in a large fleet. Without it, that sub-query waits for a new connection.
func TestIdleConnectionOfDaemonStaysOpen(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	conn, err := net.Dial("tcp", f.daemons[0].settings.ControlAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	time.Sleep(11 * time.Second)
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", executor.ProbePath)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
}

func freeAddress(t *testing.T) string {
	address, err := faker.FreeAddress()
	require.NoError(t, err)
	return address
}

func (f *fleet) start(domain, vm string) *testDaemon { return f.startAt(f.address, domain, vm) }

// startAt starts a daemon that uses the store at the given address.
func (f *fleet) startAt(store, domain, vm string) *testDaemon {
	return f.startWith(store, domain, vm, func(*platform.Settings) {})
}

// startWith starts a daemon whose settings change modifies.
func (f *fleet) startWith(store, domain, vm string, change func(*platform.Settings)) *testDaemon {
	s := platform.Settings{
		VM: vm, Domain: domain, Region: domains[domain], Regions: domains,
		FrontAddress: freeAddress(f.t), ReadyAddress: freeAddress(f.t), ControlAddress: freeAddress(f.t),
		StoreAddress: store, Power: 400, StopWithin: 4000,
		Bounds: cataloger.Bounds{RetryRatio: 0.2, RetrySlack: 56, ColdOverage: 1.5, ColdSlack: 5, CanaryShare: 0.1, CanarySlack: 50},
	}
	change(&s)
	ctx, cancel := context.WithCancel(context.Background())
	d := &testDaemon{settings: s, stop: cancel, exited: make(chan error, 1)}
	g := gatekeeper.New(s, tiller.SystemClock(), testLog, func() int64 { return 0 })
	go func() {
		d.exited <- g.Run(ctx)
		close(d.exited)
	}()
	return d
}

func (f *fleet) ready(d *testDaemon) int {
	resp, err := f.client.Get("http://" + d.settings.ReadyAddress + platform.ReadinessPath)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (f *fleet) waitReady(d *testDaemon) {
	require.Eventually(f.t, func() bool { return f.ready(d) == http.StatusOK }, 5*time.Second, 5*time.Millisecond)
}

// waitAnnounced waits until the store holds an entry for each daemon.
func (f *fleet) waitAnnounced() {
	require.Eventually(f.t, func() bool { return len(f.store.Keys("fleet/members/")) == len(f.daemons) }, changeTimeout, 5*time.Millisecond)
}

// waitServed waits until a daemon answers a path with status 200.
func (f *fleet) waitServed(d *testDaemon, path string) {
	require.Eventually(f.t, func() bool { return f.request(d, "GET", path, nil).status == http.StatusOK }, changeTimeout, 10*time.Millisecond)
}

// answer is the response that a client received.
type answer struct {
	status  int
	header  http.Header
	body    string
	id      string
	failure error
}

func (f *fleet) request(d *testDaemon, method, uri string, body io.Reader) answer {
	f.queries++
	return f.send(d, method, uri, fmt.Sprintf("q-%d", f.queries), body)
}

func (f *fleet) send(d *testDaemon, method, uri, id string, body io.Reader) answer {
	r, err := http.NewRequest(method, "http://"+d.settings.FrontAddress+uri, body)
	require.NoError(f.t, err)
	r.Host = "h"
	r.Header.Set("X-Carawaytiller-Request-Id", id)
	r.Header.Set("X-Carawaytiller-Request-Deadline", "1000")
	resp, err := f.client.Do(r)
	if err != nil {
		return answer{id: id, failure: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), id: id, failure: err}
}

// reason returns the reason in the body of a refusal.
func (a answer) reason(t *testing.T) string {
	var body struct{ Reason string }
	require.NoError(t, json.Unmarshal([]byte(a.body), &body), a.body)
	return body.Reason
}
