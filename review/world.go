//go:build review

// Command standin plays the cases of the review: it starts the project's daemons as separate processes beside a store,
// backends and clients of its own, and checks one rule of the users' pages.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/carawaytiller/carawaytiller/platform/faker"
)

// world is a small deployment on loopback addresses.
type world struct {
	dir     string
	store   *faker.Store
	storeAt string
	gates   []*gate
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *os.File
}

// gate is one daemon process.
type gate struct {
	name, zone, region    string
	front, ready, control string
	settingsPath          string
	cmd                   *exec.Cmd
	ended                 chan error
}

// zones maps the zones to their regions, as on the sheet of the site.
var zones = map[string]string{"glasgow-a": "glasgow", "edinburgh-a": "edinburgh", "aberdeen-a": "aberdeen"}

// newWorld starts the store. The record is written to record.txt in dir.
func newWorld(dir string) (*world, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{store: faker.NewStore(), trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// addGate starts a daemon with the settings of the site's machines and waits until it is ready.
func (w *world) addGate(name, zone string) (*gate, error) {
	g := &gate{name: name, zone: zone, region: zones[zone]}
	for _, address := range []*string{&g.front, &g.ready, &g.control} {
		free, err := faker.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	settings := map[string]any{
		"Node": g.name, "Role": "gate", "MachineClass": "edge", "Serves": []string{"edge", "control_plane"}, "Ip": "127.0.0.1",
		"Zone": zone, "Region": g.region, "Zones": zones,
		"Listen":    map[string]string{"Front": g.front, "Ready": g.ready, "Control": g.control},
		"Bootstrap": true, "Limits": map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100},
		"HeartbeatMs": 1200,
		"Bounds": map[string]any{
			"ContactMs": 5000, "DrainMs": 4000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 4000, "RetryBudgetRatio": 0.2,
			"BudgetSlack": 56, "CanaryShare": 0.1, "CanarySlack": 50, "ColdOverage": 1.5, "ColdSlack": 5, "EvacuationMs": 5000,
		},
		"platform": map[string]any{"Address": w.storeAt, "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	g.settingsPath = filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(g.settingsPath, data, 0o600); err != nil {
		return nil, err
	}
	w.gates = append(w.gates, g)
	return g, w.start(g)
}

// start starts the process of a daemon and waits until it is ready.
func (w *world) start(g *gate) error {
	if err := w.launch(g); err != nil {
		return err
	}
	for range 1000 {
		if g.isReady() {
			w.note("daemon %s is ready", g.name)
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("daemon %s is not ready after 10 s", g.name)
}

// launch starts the process of a daemon with the command of the deploy file.
func (w *world) launch(g *gate) error {
	g.cmd = exec.Command("target/tillergate", "run")
	g.cmd.Env = append(os.Environ(), "CARAWAYTILLER_BOOT="+g.settingsPath)
	log, err := os.OpenFile(filepath.Join(w.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	ended, cmd := make(chan error, 1), g.cmd
	g.ended = ended
	go func() { ended <- cmd.Wait() }()
	return nil
}

// isReady asks a daemon as the platform does.
func (g *gate) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ready + "/carawaytiller/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all daemons.
func (w *world) close() {
	for _, g := range w.gates {
		if g.cmd == nil || g.cmd.Process == nil {
			continue
		}
		_ = g.cmd.Process.Signal(syscall.SIGCONT)
		_ = g.cmd.Process.Kill()
		<-g.ended
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
