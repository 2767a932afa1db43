package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

var regions = map[string]string{"glasgow-a": "glasgow", "edinburgh-a": "edinburgh", "aberdeen-a": "aberdeen"}

var zones = []string{"glasgow-a", "edinburgh-a", "aberdeen-a"}

// program is the command of the deploy file.
var program = []string{"target/tillergate", "run"}

// daemon is one process of the project.
type daemon struct {
	name, settings        string
	front, ready, control string
	log                   *os.File
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

// freePorts returns ports that are free at each of the addresses.
func freePorts(n int, ips []string) ([]int, error) {
	var ports []int
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	for tries := 0; len(ports) < n && tries < 200; tries++ {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		port := l.Addr().(*net.TCPAddr).Port
		free := true
		for _, ip := range ips[1:] {
			other, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			held = append(held, other)
		}
		if free {
			ports = append(ports, port)
		}
	}
	if len(ports) < n {
		return nil, fmt.Errorf("%d free ports found, want %d", len(ports), n)
	}
	return ports, nil
}

// startDaemons starts one daemon in each zone.
func startDaemons(dir, storeAddress string, memoryMb int) ([]*daemon, error) {
	ips := []string{"127.0.0.11", "127.0.0.12", "127.0.0.13"}
	ports, err := freePorts(3, ips)
	if err != nil {
		return nil, err
	}
	var daemons []*daemon
	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, net.JoinHostPort(ip, strconv.Itoa(ports[2])))
	}
	for i, ip := range ips {
		d := &daemon{name: "edge-" + zones[i] + "-1"}
		d.front, d.ready, d.control = net.JoinHostPort(ip, strconv.Itoa(ports[0])), net.JoinHostPort(ip, strconv.Itoa(ports[1])), seeds[i]
		settings := map[string]any{
			"Node": d.name, "Role": "gate", "MachineClass": "edge", "Serves": []string{"edge", "control_plane"}, "Ip": ip,
			"Zone": zones[i], "Region": regions[zones[i]], "Zones": regions,
			"Listen":        map[string]string{"Front": d.front, "Ready": d.ready, "Control": d.control},
			"InternalPorts": []int{7380, 7395}, "Seeds": seeds, "Bootstrap": true, "InTolerance": false,
			"Limits":  map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": memoryMb, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
			"DataDir": nil, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
			"Policies":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "rollout", "platform"},
			"FaultTolerance": map[string]int{"Machines": 1, "Zones": 1, "Regions": 1},
			"Bounds": map[string]any{
				"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 5000, "AckMs": 6000, "CatchUpS": 4, "DrainMs": 4000, "GraceS": 6,
				"LossSlackMs": 200, "ConfigApplyMs": 4000, "DowngradeSlackMs": 250, "PartitionMaxMs": 15000,
				"RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 56, "CanaryShare": 0.1, "CanarySlack": 50,
				"RollbackMs": 5000, "ColdOverage": 1.5, "ColdSlack": 5, "EvacuationMs": 5000, "RecoveryS": 12,
			},
			"platform": map[string]any{"Address": storeAddress, "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000},
		}
		data, err := json.Marshal(settings)
		if err != nil {
			return daemons, err
		}
		d.settings = filepath.Join(dir, d.name+".json")
		if err := os.WriteFile(d.settings, data, 0o600); err != nil {
			return daemons, err
		}
		if d.log, err = os.Create(filepath.Join(dir, d.name+".log")); err != nil {
			return daemons, err
		}
		daemons = append(daemons, d)
		if err := d.start(); err != nil {
			return daemons, err
		}
	}
	return daemons, nil
}

func (d *daemon) start() error {
	d.cmd = exec.Command(program[0], program[1:]...)
	d.cmd.Env = []string{"CARAWAYTILLER_BOOT=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(d.cmd, d.ended)
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.ended
}

// residentMb returns the resident memory of the process in MB of 2^20 bytes.
func (d *daemon) residentMb() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// isReady asks the daemon as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.ready + "/carawaytiller/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func awaitReady(daemons []*daemon, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(daemons) {
			return nil
		}
	}
	return fmt.Errorf("daemons are not ready within %s", within)
}
