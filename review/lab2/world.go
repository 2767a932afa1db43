//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: a store, servers and daemons, with a record of what happened.
type world struct {
	start   time.Time
	dir     string
	trouble bool
	store   *store
	daemons []*daemon

	mu     sync.Mutex
	record *os.File
}

// newWorld returns a world that writes its record to file. If trouble is false, the case leaves out its disruption.
func newWorld(file string, trouble bool) *world {
	record, err := os.Create(file)
	if err != nil {
		fail("record: %v", err)
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fail("folder: %v", err)
	}
	w := &world{start: time.Now(), dir: dir, trouble: trouble, store: newStore(20 * time.Second), record: record}
	w.note("disruption: %v", trouble)
	return w
}

// fail ends the program because the case cannot run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	panic(notRun{})
}

type notRun struct{}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

// close ends all daemons and removes the folder.
func (w *world) close() {
	for _, d := range w.daemons {
		d.end()
	}
	w.keepLogs()
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// freeAddress returns a loopback address with a free port below the range of outgoing connections.
func freeAddress() string {
	for range 2000 {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	fail("no free port")
	return ""
}

var nextPort = 10000 + os.Getpid()%10000

// daemon is one process of the system with its machine.
type daemon struct {
	world                 *world
	name                  string
	front, ready, control string
	gate                  *gate
	settings              string
	// slack is BudgetSlack of the settings.
	slack  int
	cmd    *exec.Cmd
	exited chan struct{}
}

// newDaemon adds a daemon. It is started by start.
func (w *world) newDaemon(name string, seeds []string) *daemon {
	return w.newDaemonIn(name, "a-1", "a", seeds)
}

// newDaemonIn adds a daemon in a zone.
func (w *world) newDaemonIn(name, zone, region string, seeds []string) *daemon {
	d := &daemon{world: w, name: name, front: freeAddress(), ready: freeAddress(), control: freeAddress(), gate: newGate(w.store), slack: 56}
	d.settings = filepath.Join(w.dir, name+".json")
	d.configure(zone, region, seeds)
	w.daemons = append(w.daemons, d)
	return d
}

// zones are the zones of a small deployment and their regions.
var zones = map[string]string{"a-1": "a", "b-1": "b", "c-1": "c"}

func (d *daemon) configure(zone, region string, seeds []string) {
	settings := map[string]any{
		"Node": d.name, "Role": "gate", "MachineClass": "edge", "Serves": []string{"edge", "control_plane"}, "Ip": "127.0.0.1",
		"Zone": zone, "Region": region, "Zones": zones,
		"Listen": map[string]string{"Front": d.front, "Ready": d.ready, "Control": d.control}, "InternalPorts": []int{7380, 7395},
		"Seeds": seeds, "Bootstrap": true, "HeartbeatMs": 1200,
		"Limits": map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 5000, "AckMs": 6000, "CatchUpS": 4, "DrainMs": 4000, "GraceS": 6,
			"LossSlackMs": 200, "ConfigApplyMs": 4000, "DowngradeSlackMs": 250, "PartitionMaxMs": 15000, "RetryBudgetRatio": 0.2,
			"BudgetWindowS": 10, "BudgetSlack": d.slack, "CanaryShare": 0.1, "CanarySlack": 50, "RollbackMs": 5000, "ColdOverage": 1.5,
			"ColdSlack": 5, "EvacuationMs": 5000, "RecoveryS": 12,
		},
		"platform": map[string]any{"Address": d.gate.address, "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		fail("settings: %v", err)
	}
	if err := os.WriteFile(d.settings, data, 0o600); err != nil {
		fail("settings: %v", err)
	}
}

// startProcess starts the program as the deploy file does.
func (d *daemon) startProcess() {
	log, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	defer log.Close()
	d.cmd = exec.Command("target/tillergate", "run")
	d.cmd.Env = append(os.Environ(), "CARAWAYTILLER_BOOT="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		fail("start %s: %v", d.name, err)
	}
	d.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		d.world.note("daemon %s: process has ended: %v", d.name, err)
		close(exited)
	}(d.cmd, d.exited)
	d.world.note("daemon %s: started", d.name)
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.world.note("daemon %s: %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// end kills the process if it still runs.
func (d *daemon) end() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGCONT)
	_ = d.cmd.Process.Kill()
	<-d.exited
}

// awaitReady waits until the daemon reports itself as ready.
func (d *daemon) awaitReady() {
	end := time.Now().Add(10 * time.Second)
	for time.Now().Before(end) {
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + d.ready + "/carawaytiller/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.world.note("daemon %s: ready", d.name)
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	log, _ := os.ReadFile(d.settings + ".log")
	fail("daemon %s is not ready: %s", d.name, log)
}

// log returns the lines of the daemon's log that contain a text.
func (d *daemon) log(text string) []string {
	data, _ := os.ReadFile(d.settings + ".log")
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends one request on a new connection.
func (d *daemon) ask(method, uri, id string, deadline time.Duration, body string) answer {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return d.askWith(client, method, uri, id, deadline, body)
}

// askWith sends one request with a client.
func (d *daemon) askWith(client *http.Client, method, uri, id string, deadline time.Duration, body string) answer {
	req, err := http.NewRequest(method, "http://"+d.front+uri, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "h.example"
	req.Header.Set("X-Carawaytiller-Request-Id", id)
	req.Header.Set("X-Carawaytiller-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(data), err}
}

// keepLogs copies the logs of the daemons to a folder, if one is named.
func (w *world) keepLogs() {
	dir := os.Getenv("KEEP_LOGS")
	if dir == "" {
		return
	}
	for _, d := range w.daemons {
		data, _ := os.ReadFile(d.settings + ".log")
		_ = os.WriteFile(filepath.Join(dir, d.name+".log"), data, 0o600)
	}
}

// onlyRoute is a configuration with one route to one service.
func onlyRoute(service, kind string) map[string]any {
	return map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{
			"Name": "fetch", "Host": "h.example", "Prefix": "/fetch/", "RouteType": kind, "TimeoutMs": 2500, "TargetLatencyMs": 400,
			"Attempts": 2, "Priority": 1, "Service": service,
		}},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/health", "MaxConnections": 110, "ColdS": 3, "WarmupPerS": 10}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
