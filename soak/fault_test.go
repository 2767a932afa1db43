package soak_test

import (
	"fmt"
	"syscall"
	"time"
)

// injectFault injects one random fault. Most faults last for 900 to 2500 ms, so that they overlap.
func (r *run) injectFault() {
	p := r.processes[r.random.IntN(len(r.processes))]
	link := r.links[r.random.IntN(len(r.links))]
	u := r.upstreams[r.random.IntN(len(r.upstreams))]
	kinds := []struct {
		name string
		do   func()
	}{
		{"SIGKILL", func() { r.restart(p, syscall.SIGKILL) }},
		{"SIGTERM", func() { r.restart(p, syscall.SIGTERM) }},
		{"SIGSTOP", func() { r.pause(p) }},
		{"store down", func() { r.store.SetDown(true); r.clearAfter(900, func() { r.store.SetDown(false) }) }},
		{"store silent for one daemon", func() {
			p.storeLink.dropFromTarget.Store(true)
			r.clearAfter(2500, func() { p.storeLink.dropFromTarget.Store(false); p.storeLink.reset() })
		}},
		{"store compaction", r.store.Compact},
		{"connection reset", link.reset},
		{"connection delay", func() {
			link.delay.Store(int64(40 * time.Millisecond))
			r.clearAfter(1500, func() { link.delay.Store(0) })
		}},
		{"link silent to upstream", func() {
			link.dropToTarget.Store(true)
			r.clearAfter(1500, func() { link.dropToTarget.Store(false); link.reset() })
		}},
		{"link silent from upstream", func() {
			link.dropFromTarget.Store(true)
			r.clearAfter(1500, func() { link.dropFromTarget.Store(false); link.reset() })
		}},
		{"slow upstream", func() { u.SetDelay(150 * time.Millisecond); r.clearAfter(1500, func() { u.SetDelay(0) }) }},
		{"upstream shed", func() { u.SetShed(true); r.clearAfter(1500, func() { u.SetShed(false) }) }},
		{"configuration change", r.putConfig},
	}
	kind := kinds[r.random.IntN(len(kinds))]
	r.faults = append(r.faults, kind.name)
	kind.do()
}

// clearAfter calls end after ms milliseconds to end a fault. The run waits for it through r.wg.
func (r *run) clearAfter(ms int, end func()) {
	r.wg.Add(1)
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		defer r.wg.Done()
		end()
	})
}

// restart ends a daemon with a signal and starts it again. After SIGTERM it checks that the planned stop succeeds
// within 4 s. It does nothing if the daemon is paused or stopping.
func (r *run) restart(p *process, signal syscall.Signal) {
	if p.paused || p.stopping.Load() {
		return
	}
	p.stopping.Store(signal == syscall.SIGTERM)
	started := time.Now()
	if err := p.cmd.Process.Signal(signal); err != nil {
		r.reportViolation("the daemon exited without a signal from the test: %v", err)
	}
	err := p.cmd.Wait()
	if signal == syscall.SIGTERM && (err != nil || time.Since(started) > 4*time.Second) {
		r.reportViolation("a planned stop took %v (bound 4 s) and ended with error %v", time.Since(started), err)
	}
	p.stopping.Store(false)
	r.start(p)
}

// pause suspends a daemon's process for 300 to 1500 ms. It does nothing if the daemon is paused already.
func (r *run) pause(p *process) {
	if p.paused {
		return
	}
	p.paused = true
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		r.reportViolation("the daemon exited without a signal from the test: %v", err)
	}
	time.Sleep(time.Duration(300+r.random.IntN(1200)) * time.Millisecond)
	if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		r.reportViolation("the daemon exited without a signal from the test: %v", fmt.Errorf("after a pause: %w", err))
	}
	p.paused = false
}

// clearFaults ends all faults at the store, the proxies and the upstreams.
func (r *run) clearFaults() {
	r.store.SetDown(false)
	for _, p := range r.processes {
		p.storeLink.dropFromTarget.Store(false)
		p.storeLink.reset()
	}
	for i, link := range r.links {
		link.delay.Store(0)
		link.dropToTarget.Store(false)
		link.dropFromTarget.Store(false)
		link.reset()
		r.upstreams[i].SetDelay(0)
		r.upstreams[i].SetShed(false)
	}
}
