package soak_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// maxDeparted is the number of services that lose an upstream in one run.
const maxDeparted = 4

// injectChanges makes changes in series until the deadline, beside the faults and overlapping with them: changed
// settings with SIGHUP, further signals in a planned stop, upstreams that leave, and upstreams in trouble.
func (r *run) injectChanges(deadline time.Time) {
	defer r.wg.Done()
	random := rand.New(rand.NewPCG(r.seed, 12))
	for time.Now().Before(deadline) {
		time.Sleep(time.Duration(50+random.IntN(400)) * time.Millisecond)
		switch random.IntN(5) {
		case 0, 1:
			for range 1 + random.IntN(3) {
				p := r.processes[random.IntN(len(r.processes))]
				if err := p.changeSettings(40 + random.IntN(20)); err != nil {
					r.reportViolation("settings were not changed: %v", err)
				}
				p.signal(syscall.SIGHUP)
			}
		case 2:
			for _, p := range r.processes {
				if p.stopping.Load() {
					p.signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[random.IntN(2)])
				}
			}
		case 3:
			r.depart(random)
		case 4:
			u := r.upstreams[random.IntN(len(r.upstreams))]
			u.SetInvalidStatus([]string{"000", "099", "101", "600", "999"}[random.IntN(5)])
			r.clearAfter(600, func() { u.SetInvalidStatus("") })
		}
	}
}

// handlerTime is the time within which a process has installed its signal handlers. Before, SIGHUP ends it.
const handlerTime = 200 * time.Millisecond

// signal sends a signal to the daemon, unless its process has ended or has just been started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.startedAt) < handlerTime {
		return
	}
	// The error is ignored: a process that is being restarted has ended.
	_ = p.cmd.Process.Signal(s)
}

// depart makes one upstream of a service leave, if none of it has left yet. It goes on serving. Its entry is removed,
// or says that it drains.
func (r *run) depart(random *rand.Rand) {
	u := r.upstreams[random.IntN(len(r.upstreams))]
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.departed) == maxDeparted || r.departed[u.Service] != nil {
		return
	}
	r.departed[u.Service] = u
	key := "servers/" + u.ID
	if random.IntN(2) == 0 {
		r.store.Remove(key)
		return
	}
	r.store.Put(key, strings.Replace(r.store.Value(key), `"ready"`, `"draining"`, 1))
}

// departedRequests returns how many requests the upstreams that have left have got so far, by name.
func (r *run) departedRequests() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := make(map[string]string)
	for _, u := range r.departed {
		requests[u.ID] = fmt.Sprintf("%d requests", u.Requests())
	}
	return requests
}
