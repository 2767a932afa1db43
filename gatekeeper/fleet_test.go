package gatekeeper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
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
	daemons   []*running
	client    *http.Client
	queries   int
}

// running is one daemon.
type running struct {
	settings platform.Settings
	stop     context.CancelFunc
	ended    chan error
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
			<-d.ended
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
	f.enter(id, service, domain, server.Listener.Addr().String(), "ready")
}

func (f *fleet) enter(id, service, domain, address, state string) {
	f.store.Put("servers/"+id, fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":2,"State":%q,"ColdMs":0,"Sequence":1}`, service, address, domain, state))
}

// configure puts a configuration with the routes /all/, /one/, and one more when extra is not empty.
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

func freeAddress(t *testing.T) string {
	address, err := faker.FreeAddress()
	require.NoError(t, err)
	return address
}

func (f *fleet) start(domain, vm string) *running { return f.startAt(f.address, domain, vm) }

// startAt starts a daemon that reaches the store at an address.
func (f *fleet) startAt(store, domain, vm string) *running {
	s := platform.Settings{
		VM: vm, Domain: domain, Region: domains[domain], Regions: domains,
		FrontAddress: freeAddress(f.t), ReadyAddress: freeAddress(f.t), ControlAddress: freeAddress(f.t),
		StoreAddress: store, Power: 400, StopWithin: 4000,
		Bounds: cataloger.Bounds{RetryRatio: 0.2, RetrySlack: 56, ColdOverage: 1.5, ColdSlack: 5},
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &running{settings: s, stop: cancel, ended: make(chan error, 1)}
	g := gatekeeper.New(s, tiller.SystemClock(), testLog, func() int64 { return 0 })
	go func() {
		d.ended <- g.Run(ctx)
		close(d.ended)
	}()
	return d
}

func (f *fleet) ready(d *running) int {
	resp, err := f.client.Get("http://" + d.settings.ReadyAddress + platform.ReadinessPath)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (f *fleet) waitReady(d *running) {
	require.Eventually(f.t, func() bool { return f.ready(d) == http.StatusOK }, 5*time.Second, 5*time.Millisecond)
}

// waitAnnounced waits until the store holds an entry of each daemon.
func (f *fleet) waitAnnounced() {
	require.Eventually(f.t, func() bool { return len(f.store.Keys("fleet/members/")) == len(f.daemons) }, within, 5*time.Millisecond)
}

// waitServed waits until a daemon serves a path.
func (f *fleet) waitServed(d *running, path string) {
	require.Eventually(f.t, func() bool { return f.request(d, "GET", path, nil).status == http.StatusOK }, within, 10*time.Millisecond)
}

// answer is what a client got.
type answer struct {
	status  int
	header  http.Header
	body    string
	id      string
	failure error
}

func (f *fleet) request(d *running, method, uri string, body io.Reader) answer {
	f.queries++
	return f.send(d, method, uri, fmt.Sprintf("q-%d", f.queries), body)
}

func (f *fleet) send(d *running, method, uri, id string, body io.Reader) answer {
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

// reason returns the reason of a refusal.
func (a answer) reason(t *testing.T) string {
	var body struct{ Reason string }
	require.NoError(t, json.Unmarshal([]byte(a.body), &body), a.body)
	return body.Reason
}
