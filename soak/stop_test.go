package soak_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/platform/faker"
)

// changeSettings writes settings to a daemon's file that differ in one bound from those before.
func (p *process) changeSettings(slack int) error {
	data, err := os.ReadFile(p.settingsFile)
	if err != nil {
		return err
	}
	before, rest, found := bytes.Cut(data, []byte(`"BudgetSlack":`))
	end := bytes.IndexAny(rest, ",}")
	if !found || end < 0 {
		return fmt.Errorf("settings without BudgetSlack: %s", data)
	}
	data = slices.Concat(before, fmt.Appendf(nil, `"BudgetSlack":%d`, slack), rest[end:])
	// A rename keeps the daemon from reading a half-written file.
	if err := os.WriteFile(p.settingsFile+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(p.settingsFile+".new", p.settingsFile)
}

// Guards against a planned stop that a further signal ends at once, which cut the requests that the daemon had passed
// on to upstreams. Each request that an upstream runs must be answered.
func TestSignalsDuringPlannedStopCutNoRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("a stop takes several seconds")
	}
	for name, signals := range map[string][]syscall.Signal{
		"SIGHUP":             {syscall.SIGHUP},
		"SIGHUP in a series": {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP},
		"SIGTERM again":      {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			r := &run{t: t, binary: buildDaemon(t), store: faker.NewStore(), upstreamsByService: make(map[string][]*faker.Upstream)}
			store := httptest.NewServer(r.store)
			t.Cleanup(store.Close)
			for i := range shardCount {
				r.addUpstream(fmt.Sprintf("i-%d", i), fmt.Sprintf("s-%d", i), domains[0])
			}
			r.addUpstream("i-once", "once", domains[0])
			r.putConfig()
			for _, u := range r.upstreams {
				u.SetDelay(600 * time.Millisecond)
			}
			p := r.newProcess(0, store.Listener.Addr().String())
			t.Cleanup(func() { _ = p.cmd.Process.Kill() })
			require.Eventually(t, p.isReady, 5*time.Second, 10*time.Millisecond, "not ready: %s", processLog{p})

			var wg sync.WaitGroup
			var mu sync.Mutex
			var lost []string
			answered := 0
			clientsEnd := time.Now().Add(2 * time.Second)
			for n := range clients {
				wg.Add(1)
				go func() {
					defer wg.Done()
					client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
					for i := 0; time.Now().Before(clientsEnd); i++ {
						id := fmt.Sprintf("c%d-%d", n, i)
						status, _, _, err := send(client, p, "POST", "/once/"+id, id, nil)
						mu.Lock()
						if err != nil && r.runs(id) > 0 {
							lost = append(lost, fmt.Sprintf("%s: %v", id, err))
						}
						if err == nil && status == http.StatusOK {
							answered++
						}
						mu.Unlock()
						time.Sleep(time.Duration(20+n) * time.Millisecond)
					}
				}()
			}
			time.Sleep(300 * time.Millisecond)
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			for i, s := range signals {
				time.Sleep(300 * time.Millisecond)
				require.NoError(t, p.changeSettings(40+i))
				require.NoError(t, p.cmd.Process.Signal(s), "the process ended after %d further signals: %s", i, processLog{p})
			}
			wg.Wait()
			exit := p.cmd.Wait()
			require.Empty(t, lost, "the process ended with %v", exit)
			require.NoError(t, exit, "%s", processLog{p})
			require.GreaterOrEqual(t, answered, clients)
			if signals[0] == syscall.SIGHUP {
				require.Contains(t, processLog{p}.String(), "Settings reloaded")
			}
		})
	}
}
