package soak_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/merger"
	"github.com/carawaytiller/carawaytiller/platform"
	"github.com/carawaytiller/carawaytiller/platform/faker"
)

const (
	clients    = 12
	daemons    = 6
	shardCount = 8
	topK       = 9
	records    = 12
	attempts   = 2
)

// lossSlack is the time after a request was sent in which a planned stop may close its connection, if
// the request was not passed on: it crosses the close.
const lossSlack = 200 * time.Millisecond

var domains = []string{"east-a", "north-a", "west-a"}

// run is one soak with its processes and what was seen.
type run struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand
	binary    string
	store     *faker.Store
	upstreams []*faker.Upstream
	byService map[string][]*faker.Upstream
	links     []*proxy
	processes []*process
	version   int
	faults    []string
	wg        sync.WaitGroup

	served, refused, lost atomic.Int64
	mu                    sync.Mutex
	violations            []string
	// outcomes holds the status of each request that must not run twice; 0 when it got no answer.
	outcomes map[string]int
	// cut holds the requests whose connection a planned stop ended within lossSlack.
	cut []string
	// gathered holds the queries over all shards.
	gathered []string
}

// process is one daemon.
type process struct {
	front, ready string
	settings     string
	storeLink    *proxy
	cmd          *exec.Cmd
	// stopping says that a planned stop is under way.
	stopping atomic.Bool
	paused   bool
}

func newRun(t *testing.T, binary string, seed uint64) *run {
	r := &run{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 11)), binary: binary, store: faker.NewStore(),
		outcomes: make(map[string]int), byService: make(map[string][]*faker.Upstream),
	}
	store := httptest.NewServer(r.store)
	t.Cleanup(store.Close)
	for i := range shardCount {
		for j := range 3 {
			r.addUpstream(fmt.Sprintf("i-%d-%d", i, j), fmt.Sprintf("s-%d", i), domains[(i+j)%len(domains)])
		}
	}
	for j := range 3 {
		r.addUpstream(fmt.Sprintf("i-once-%d", j), "once", domains[j])
	}
	r.change()
	for i := range daemons {
		r.processes = append(r.processes, r.newProcess(i, store.Listener.Addr().String()))
	}
	t.Cleanup(func() {
		for _, p := range r.processes {
			// Only processes that this run started are ended.
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	})
	for _, p := range r.processes {
		require.Eventually(t, p.isReady, 5*time.Second, 10*time.Millisecond, "seed %d: not ready: %s", r.seed, logOf{p})
	}
	return r
}

// logOf prints the log of a process.
type logOf struct{ p *process }

func (l logOf) String() string {
	log, err := os.ReadFile(l.p.settings + ".log")
	return fmt.Sprint(string(log), err)
}

func (r *run) addUpstream(id, service, domain string) {
	u := faker.NewUpstream(id, service, records)
	server := httptest.NewServer(u)
	r.t.Cleanup(server.Close)
	link := newProxy(r.t, server.Listener.Addr().String(), r.t.Cleanup)
	r.upstreams = append(r.upstreams, u)
	r.byService[service] = append(r.byService[service], u)
	r.links = append(r.links, link)
	r.store.Put("servers/"+id, fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":4,"State":"ready","ColdMs":0,"Sequence":1}`, service, link.address, domain))
}

// change puts the next configuration, which has a route of its own.
func (r *run) change() {
	r.version++
	var shards []string
	for i := range shardCount {
		shards = append(shards, fmt.Sprintf("%q", fmt.Sprintf("s-%d", i)))
	}
	r.store.Put("op/config", fmt.Sprintf(`{"Version":%d,"Routes":[
{"Name":"all","Host":"h","Prefix":"/all/","RouteType":"idempotent","TimeoutMs":1500,"TargetLatencyMs":300,"Gather":[%s],"Attempts":%d,"TopK":%d,"MinCoverage":0.7},
{"Name":"once","Host":"h","Prefix":"/once/","RouteType":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":300,"Service":"once","Attempts":2},
{"Name":"new","Host":"h","Prefix":"/v%d/","RouteType":"idempotent","TimeoutMs":1500,"TargetLatencyMs":300,"Service":"once","Attempts":2}],
"Services":[],"Limits":{"MaxBodyBytes":100000}}`, r.version, strings.Join(shards, ","), attempts, topK, r.version))
}

func freeAddress(t *testing.T) string {
	address, err := faker.FreeAddress()
	require.NoError(t, err)
	return address
}

func (r *run) newProcess(i int, store string) *process {
	p := &process{
		front: freeAddress(r.t), ready: freeAddress(r.t), storeLink: newProxy(r.t, store, r.t.Cleanup),
		settings: filepath.Join(r.t.TempDir(), "settings.json"),
	}
	domain := domains[i%len(domains)]
	region, _, _ := strings.Cut(domain, "-")
	settings := map[string]any{
		"Node": fmt.Sprintf("vm-%d", i), "Zone": domain, "Region": region,
		"Zones":  map[string]string{"east-a": "east", "north-a": "north", "west-a": "west"},
		"Listen": map[string]string{"Front": p.front, "Ready": p.ready, "Control": freeAddress(r.t)},
		"Bounds": map[string]float64{"GraceS": 4, "RetryBudgetRatio": 0.2, "BudgetSlack": 56, "ColdOverage": 1.5, "ColdSlack": 5},
		"Limits": map[string]float64{"CpuShare": 0.4, "Cores": 1}, "platform": map[string]string{"Address": p.storeLink.address},
	}
	data, err := json.Marshal(settings)
	require.NoError(r.t, err)
	require.NoError(r.t, os.WriteFile(p.settings, data, 0o600))
	r.start(p)
	return p
}

func (r *run) start(p *process) {
	p.cmd = exec.Command(r.binary, "run")
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(r.t, err)
	defer func() { _ = log.Close() }()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(r.t, p.cmd.Start())
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.ready + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// client sends requests over kept connections to daemons that it picks at random.
func (r *run) client(n int, stop <-chan struct{}) {
	defer r.wg.Done()
	random := rand.New(rand.NewPCG(r.seed, uint64(n)))
	client := &http.Client{Timeout: 3 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		id := fmt.Sprintf("c%d-%d", n, i)
		p := r.processes[random.IntN(len(r.processes))]
		if random.IntN(3) == 0 {
			r.once(client, p, id)
		} else {
			r.gather(client, p, id)
		}
	}
}

func send(client *http.Client, p *process, method, uri, id string, body io.Reader) (int, http.Header, string, error) {
	req, err := http.NewRequest(method, "http://"+p.front+uri, body)
	if err != nil {
		return 0, nil, "", err
	}
	req.Host = "h"
	req.Header.Set("X-Carawaytiller-Request-Id", id)
	req.Header.Set("X-Carawaytiller-Request-Deadline", "1500")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(data), err
}

// gather sends a query over all shards and checks the answer against a merge of the parts it names.
func (r *run) gather(client *http.Client, p *process, id string) {
	uri := "/all/" + id
	r.mu.Lock()
	r.gathered = append(r.gathered, id)
	r.mu.Unlock()
	status, header, body, err := send(client, p, "GET", uri, id, nil)
	switch {
	case err != nil:
		r.lost.Add(1)
		return
	case status != http.StatusOK:
		r.refused.Add(1)
		if status < 500 {
			r.violate("%s: status %d for a route that every version has", id, status)
		}
		return
	}
	r.served.Add(1)
	merged := merger.NewRecords(topK)
	seen := make(map[string]bool)
	stamps := strings.Split(header.Get("X-Carawaytiller-Part-Stamps"), ", ")
	for _, stamp := range stamps {
		fields := strings.Split(stamp, ".")
		if len(fields) != 3 || fields[2] != id || seen[fields[0]] {
			r.violate("%s: stamp %q is of another request, or the second of its shard", id, stamp)
			return
		}
		seen[fields[0]] = true
		merged.Add(faker.ResponseBody(fields[0], uri, records))
	}
	if body != string(merged.Bytes()) {
		r.violate("%s: the records are not the greatest of the parts named", id)
	}
	if missing := header.Get("X-Carawaytiller-Missing-Parts"); missing != fmt.Sprint(shardCount-len(stamps)) {
		r.violate("%s: %d parts and %s missing of %d", id, len(stamps), missing, shardCount)
	}
}

// once sends a request that must not run twice.
func (r *run) once(client *http.Client, p *process, id string) {
	stopping, sent := p.stopping.Load(), time.Now()
	status, _, _, err := send(client, p, "POST", "/once/"+id, id, strings.NewReader("body"))
	r.mu.Lock()
	r.outcomes[id] = status
	r.mu.Unlock()
	switch {
	case err != nil:
		r.lost.Add(1)
		if stopping && strings.Contains(err.Error(), "EOF") {
			r.noteCut(id, time.Since(sent))
		}
	case status == http.StatusOK:
		r.served.Add(1)
	default:
		r.refused.Add(1)
	}
}

func (r *run) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// requireRuns checks that no request that must not run twice did, and that none ran that was
// refused as not run.
func (r *run) requireRuns() {
	for id, status := range r.outcomes {
		runs := r.runs(id)
		require.LessOrEqual(r.t, runs, 1, "seed %d: %s ran twice", r.seed, id)
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			require.Zero(r.t, runs, "seed %d: %s ran and was refused as not run", r.seed, id)
		}
	}
}

// requireNewestVersion checks that every daemon serves the route that only the newest version has.
// noteCut notes that a planned stop ended the connection of a request some time after it was sent.
func (r *run) noteCut(id string, after time.Duration) {
	if after > lossSlack {
		r.violate("%s: a planned stop cut the connection %v after the request was sent", id, after)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = append(r.cut, id)
}

// requireCutUnrun checks that requests that crossed the end of a connection did not run.
func (r *run) requireCutUnrun() {
	for _, id := range r.cut {
		require.Zero(r.t, r.runs(id), "seed %d: %s ran, and a planned stop cut its connection", r.seed, id)
	}
}

// runs returns how often a request ran at any upstream.
func (r *run) runs(id string) int {
	runs := 0
	for _, u := range r.upstreams {
		runs += u.Runs(id)
	}
	return runs
}

// requireAttempts checks that no query ran on more upstreams of a shard than its route allows.
func (r *run) requireAttempts() {
	for _, id := range r.gathered {
		for service, upstreams := range r.byService {
			ran := 0
			for _, u := range upstreams {
				if u.Runs(id) > 0 {
					ran++
				}
			}
			require.LessOrEqual(r.t, ran, attempts, "seed %d: %s on upstreams of %s", r.seed, id, service)
		}
	}
}

func (r *run) requireNewestVersion() {
	client := &http.Client{Timeout: 3 * time.Second}
	for i, p := range r.processes {
		require.Eventually(r.t, func() bool {
			status, _, _, err := send(client, p, "GET", fmt.Sprintf("/v%d/x", r.version), "probe", nil)
			return err == nil && status == http.StatusOK
		}, 2*time.Second, 50*time.Millisecond, "seed %d: daemon %d does not serve version %d after %v", r.seed, i, r.version, r.faults)
	}
}
