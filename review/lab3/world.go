package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// world holds the stand-ins and the processes of one run.
type world struct {
	dir      string
	store    *store
	daemons  []*daemon
	backends map[string][]*backend

	started time.Time
	mu      sync.Mutex
	record  *os.File
	runs    []run
	answers []answer
	nextID  int
	// restarts is the number of backends that came back after a crash.
	restarts int
}

// answer is what a client saw of one request.
type answer struct {
	id, target, daemon string
	sent               time.Time
	took               time.Duration
	status             int
	stamp, parts       string
	missing            string
	body               []byte
	// kept is true if the request was sent on a connection that had carried another one.
	kept bool
	err  string
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: newStore(), backends: make(map[string][]*backend), record: record, started: time.Now()}
	return w, w.store.listen()
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, d := range w.daemons {
		if d.cmd == nil || d.cmd.Process == nil || d.ended == nil {
			continue
		}
		d.signal(9)
		<-d.ended
		_ = d.log.Close()
	}
	for _, group := range w.backends {
		for _, b := range group {
			b.close()
		}
	}
	_ = w.store.server.Close()
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

func (w *world) since(t time.Time) string { return fmt.Sprintf("%7.3f", t.Sub(w.started).Seconds()) }

// note writes a line to the record and to the output.
func (w *world) note(format string, args ...any) {
	line := w.since(time.Now()) + " " + fmt.Sprintf(format, args...) + "\n"
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Print(line)
	_, _ = w.record.WriteString(line)
}

func (w *world) addRun(r run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
	fmt.Fprintf(w.record, "%s run %s %s by %s of %s\n", w.since(r.at), r.id, r.target, r.backend, r.service)
}

func (w *world) addAnswer(a answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, a)
	fmt.Fprintf(w.record, "%s sent %s %s to %s: %d after %d ms kept=%t stamp=%q parts=%q missing=%q bytes=%d %s\n",
		w.since(a.sent), a.id, a.target, a.daemon, a.status, a.took.Milliseconds(), a.kept, a.stamp, a.parts, a.missing, len(a.body), a.err)
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprintf("%08x%08x", w.started.UnixNano()&0xffffffff, w.nextID)
}

// addBackends starts n backends of a service, one zone after the other, and registers them.
func (w *world) addBackends(service string, n int, work time.Duration) error {
	for i := range n {
		b, err := startBackend(fmt.Sprintf("i-%s-%d", service, i), service, zones[i%len(zones)], work, w.addRun)
		if err != nil {
			return err
		}
		w.backends[service] = append(w.backends[service], b)
		w.store.put("servers/"+b.id, b.entry("ready"))
	}
	return nil
}

// route is a route of the operator's configuration.
type route map[string]any

func plainRoute(name, prefix, service string) route {
	return route{
		"Name": name, "Host": host, "Prefix": prefix, "RouteType": "idempotent", "TimeoutMs": 2500, "TargetLatencyMs": 400,
		"Priority": 2, "Service": service, "Attempts": 2, "AllowedRegions": []string{},
	}
}

func gatherRoute(name, prefix string, shards []string) route {
	return route{
		"Name": name, "Host": host, "Prefix": prefix, "RouteType": "idempotent", "TimeoutMs": 1000, "TargetLatencyMs": 200,
		"Priority": 1, "Gather": shards, "Attempts": 2, "TopK": 5, "MinCoverage": 0.75, "AllowedRegions": []string{},
	}
}

const host = "search.example"

// configure writes a configuration as the operator does, and returns its revision and the time of the
// acknowledgement.
func (w *world) configure(version int64, routes []route) (int64, time.Time) {
	var services []map[string]any
	for service := range w.backends {
		services = append(services, map[string]any{
			"Name": service, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false, "ColdS": 3.0, "WarmupPerS": 0.0,
		})
	}
	revision := w.store.put("op/config", map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	w.note("operator: configuration %d acknowledged at revision %d", version, revision)
	return revision, time.Now()
}

// client sends requests to one daemon over a kept connection, one at a time, and sends none again.
type client struct {
	world  *world
	d      *daemon
	conn   net.Conn
	reader *bufio.Reader
}

func (w *world) newClient(d *daemon) *client { return &client{world: w, d: d} }

// get sends a request and records its answer.
func (c *client) get(path string, deadline time.Duration) answer {
	a := answer{id: c.world.newID(), target: "GET " + path, daemon: c.d.name, sent: time.Now()}
	err := c.exchange(&a, path, deadline)
	a.took = time.Since(a.sent)
	if err != nil {
		a.err = err.Error()
		c.close()
	}
	c.world.addAnswer(a)
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) exchange(a *answer, path string, deadline time.Duration) error {
	a.kept = c.conn != nil
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.d.front, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(a.sent.Add(deadline))
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", path, host, requestIDHeader, a.id, deadlineHeader, deadline.Milliseconds())
	if _, err := io.WriteString(c.conn, request+"\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return err
	}
	a.status, a.stamp, a.missing = resp.StatusCode, resp.Header.Get(stampHeader), resp.Header.Get(missingHeader)
	a.parts = strings.Join(resp.Header.Values(partsHeader), ", ")
	a.body, err = io.ReadAll(resp.Body)
	if err == nil && resp.Close {
		c.close()
	}
	return err
}

// load sends requests to each daemon in turn over the paths until stop is closed.
func (w *world) load(paths []string, pause time.Duration, stop <-chan struct{}, wg *sync.WaitGroup) {
	for _, d := range w.daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := w.newClient(d)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				path := paths[i%len(paths)]
				c.get(fmt.Sprintf("%s%x", path, i), time.Second)
			}
		}()
	}
}
