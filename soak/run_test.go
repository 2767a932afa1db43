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
	shardCount = 8
	topK       = 9
	records    = 12
	attempts   = 2
	// stalePageSize is the number of entries on a page of the store, maxRevisionsBehind the bound of how old a stale
	// page is.
	stalePageSize      = 10
	maxRevisionsBehind = 12
)

// closeRaceWindow is the time after sending a request in which a planned stop may still close its connection, provided
// that the request was not forwarded to an upstream: request and close cross on the network.
const closeRaceWindow = 200 * time.Millisecond

var domains = []string{"east-a", "north-a", "west-a"}

// run is one soak run: its processes, its fakes and the observed results.
type run struct {
	t                  *testing.T
	seed               uint64
	random             *rand.Rand
	binary             string
	store              *faker.Store
	upstreams          []*faker.Upstream
	upstreamsByService map[string][]*faker.Upstream
	links              []*proxy
	processes          []*process
	version            int
	faults             []string
	wg                 sync.WaitGroup

	served, refused, unanswered atomic.Int64
	mu                          sync.Mutex
	violations                  []string
	// outcomes maps each non-idempotent request to its response status, 0 if it got no response.
	outcomes map[string]int
	// closedByStop holds the requests whose connection a planned stop closed within closeRaceWindow.
	closedByStop []string
	// queries holds the request identifiers of the queries over all shards.
	queries []string
	// departed holds the upstreams that have left and still serve, by service.
	departed map[string]*faker.Upstream
}

// process is one daemon process.
type process struct {
	callerAddress, readinessAddress, controlAddress string

	settingsFile string
	storeLink    *proxy
	// mu guards cmd and startedAt, which a restart replaces while signals are sent.
	mu        sync.Mutex
	cmd       *exec.Cmd
	startedAt time.Time
	// stopping is true during a planned stop.
	stopping atomic.Bool
	paused   bool
}

func newRun(t *testing.T, binary string, seed uint64) *run {
	r := &run{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 11)), binary: binary, store: faker.NewStore(),
		outcomes: make(map[string]int), upstreamsByService: make(map[string][]*faker.Upstream), departed: make(map[string]*faker.Upstream),
	}
	// Pages are small and of different age.
	staleness := rand.New(rand.NewPCG(seed, 13))
	r.store.SetPages(stalePageSize, func(int) int64 { return staleness.Int64N(maxRevisionsBehind) })
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
	r.putConfig()
	for i := range *daemons {
		r.processes = append(r.processes, r.newProcess(i, store.Listener.Addr().String()))
	}
	t.Cleanup(func() {
		for _, p := range r.processes {
			// Only processes started by this run are killed.
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	})
	for _, p := range r.processes {
		require.Eventually(t, p.isReady, 5*time.Second, 10*time.Millisecond, "seed %d: not ready: %s", r.seed, processLog{p})
	}
	return r
}

// processLog formats the log of a process when it is printed.
type processLog struct{ p *process }

func (l processLog) String() string {
	log, err := os.ReadFile(l.p.settingsFile + ".log")
	return fmt.Sprint(string(log), err)
}

func (r *run) addUpstream(id, service, domain string) {
	u := faker.NewUpstream(id, service, records)
	server := httptest.NewServer(u)
	r.t.Cleanup(server.Close)
	link := newProxy(r.t, server.Listener.Addr().String(), r.t.Cleanup)
	r.upstreams = append(r.upstreams, u)
	r.upstreamsByService[service] = append(r.upstreamsByService[service], u)
	r.links = append(r.links, link)
	r.register(id, service, link.address, domain)
}

// register writes the entry of an upstream to the store.
func (r *run) register(id, service, address, domain string) {
	r.store.Put("servers/"+id, fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":4,"State":"ready","ColdMs":0,"Sequence":1}`, service, address, domain))
}

// putConfig stores the next configuration version, which has a route that only this version has.
func (r *run) putConfig() {
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
		callerAddress: freeAddress(r.t), readinessAddress: freeAddress(r.t), controlAddress: freeAddress(r.t),
		storeLink: newProxy(r.t, store, r.t.Cleanup), settingsFile: filepath.Join(r.t.TempDir(), "settings.json"),
	}
	domain := domains[i%len(domains)]
	region, _, _ := strings.Cut(domain, "-")
	seeds := []string{p.controlAddress}
	if len(r.processes) > 0 {
		seeds = []string{r.processes[0].controlAddress}
	}
	settings := map[string]any{
		"Node": fmt.Sprintf("vm-%d", i), "Zone": domain, "Region": region,
		"Zones":  map[string]string{"east-a": "east", "north-a": "north", "west-a": "west"},
		"Listen": map[string]string{"Front": p.callerAddress, "Ready": p.readinessAddress, "Control": p.controlAddress},
		"Seeds":  seeds,
		"Bounds": map[string]float64{"GraceS": 4, "RetryBudgetRatio": 0.2, "BudgetSlack": 56, "ColdOverage": 1.5, "ColdSlack": 5},
		"Limits": map[string]float64{"CpuShare": 0.4, "Cores": 1, "MemoryMb": memoryMB}, "platform": map[string]string{"Address": p.storeLink.address},
	}
	data, err := json.Marshal(settings)
	require.NoError(r.t, err)
	require.NoError(r.t, os.WriteFile(p.settingsFile, data, 0o600))
	r.start(p)
	return p
}

func (r *run) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(r.binary, "run")
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsFile)
	log, err := os.OpenFile(p.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(r.t, err)
	defer func() { _ = log.Close() }()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.startedAt = time.Now()
	require.NoError(r.t, p.cmd.Start())
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.readinessAddress + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// client sends requests over keep-alive connections to randomly chosen daemons until stop is closed.
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
			r.sendNonRepeatable(client, p, id)
		} else {
			r.sendQuery(client, p, id)
		}
	}
}

func send(client *http.Client, p *process, method, uri, id string, body io.Reader) (int, http.Header, string, error) {
	req, err := http.NewRequest(method, "http://"+p.callerAddress+uri, body)
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

// sendQuery sends a query over all shards and checks the answer against a merge of the parts named in its headers.
func (r *run) sendQuery(client *http.Client, p *process, id string) {
	uri := "/all/" + id
	r.mu.Lock()
	r.queries = append(r.queries, id)
	r.mu.Unlock()
	status, header, body, err := send(client, p, "GET", uri, id, nil)
	switch {
	case err != nil:
		r.unanswered.Add(1)
		return
	case status != http.StatusOK:
		r.refused.Add(1)
		if status < 500 {
			r.reportViolation("%s: status %d for a route that every configuration version has", id, status)
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
			r.reportViolation("%s: part stamp %q is malformed, of another request, or the second of its shard", id, stamp)
			return
		}
		seen[fields[0]] = true
		merged.Add(faker.ResponseBody(fields[0], uri, records))
	}
	if body != string(merged.Bytes()) {
		r.reportViolation("%s: the body differs from the merge of the named parts", id)
	}
	if missing := header.Get("X-Carawaytiller-Missing-Parts"); missing != fmt.Sprint(shardCount-len(stamps)) {
		r.reportViolation("%s: %d parts answered and %s reported missing of %d", id, len(stamps), missing, shardCount)
	}
}

// sendNonRepeatable sends a request on a non-idempotent route, which must not run twice.
func (r *run) sendNonRepeatable(client *http.Client, p *process, id string) {
	stopping, sent := p.stopping.Load(), time.Now()
	status, _, _, err := send(client, p, "POST", "/once/"+id, id, strings.NewReader("body"))
	r.mu.Lock()
	r.outcomes[id] = status
	r.mu.Unlock()
	switch {
	case err != nil:
		r.unanswered.Add(1)
		if stopping && strings.Contains(err.Error(), "EOF") {
			r.recordClosedByStop(id, time.Since(sent))
		}
	case status == http.StatusOK:
		r.served.Add(1)
	default:
		r.refused.Add(1)
	}
}

func (r *run) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// requireRuns checks that no non-idempotent request ran twice, and that none ran that was refused with a status that
// says it did not run.
func (r *run) requireRuns() {
	for id, status := range r.outcomes {
		runs := r.runs(id)
		require.LessOrEqual(r.t, runs, 1, "seed %d: %s ran twice", r.seed, id)
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			require.Zero(r.t, runs, "seed %d: %s ran although it was refused as not run", r.seed, id)
		}
	}
}

// recordClosedByStop records that a planned stop closed the connection of a request. It reports a violation if that was later
// than closeRaceWindow after the request was sent.
func (r *run) recordClosedByStop(id string, after time.Duration) {
	if after > closeRaceWindow {
		r.reportViolation("%s: a planned stop closed the connection %v after the request was sent, bound %v", id, after, closeRaceWindow)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closedByStop = append(r.closedByStop, id)
}

// requireClosedNotRun checks that no request in closedByStop ran.
func (r *run) requireClosedNotRun() {
	for _, id := range r.closedByStop {
		require.Zero(r.t, r.runs(id), "seed %d: %s ran although a planned stop closed its connection", r.seed, id)
	}
}

// runs returns how often a request ran, summed over all upstreams.
func (r *run) runs(id string) int {
	runs := 0
	for _, u := range r.upstreams {
		runs += u.Runs(id)
	}
	return runs
}

// requireAttempts checks that no query ran on more upstreams of a shard than its route allows.
func (r *run) requireAttempts() {
	for _, id := range r.queries {
		for service, upstreams := range r.upstreamsByService {
			ran := 0
			for _, u := range upstreams {
				if u.Runs(id) > 0 {
					ran++
				}
			}
			require.LessOrEqual(r.t, ran, attempts, "seed %d: %s ran on too many upstreams of %s", r.seed, id, service)
		}
	}
}

// requireNewestVersion checks that every daemon serves the route that only the newest configuration version has.
func (r *run) requireNewestVersion() {
	client := &http.Client{Timeout: 3 * time.Second}
	for i, p := range r.processes {
		require.Eventually(r.t, func() bool {
			status, _, _, err := send(client, p, "GET", fmt.Sprintf("/v%d/x", r.version), "probe", nil)
			return err == nil && status == http.StatusOK
		}, 2*time.Second, 50*time.Millisecond, "seed %d: daemon %d does not serve version %d after %v", r.seed, i, r.version, r.faults)
	}
}
