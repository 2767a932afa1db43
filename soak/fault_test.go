package soak_test

import (
	"fmt"
	"syscall"
	"time"
)

// inject injects one fault. Faults last for a while, so that they overlap.
func (r *run) inject() {
	p := r.processes[r.random.IntN(len(r.processes))]
	link := r.links[r.random.IntN(len(r.links))]
	u := r.upstreams[r.random.IntN(len(r.upstreams))]
	kinds := []struct {
		name string
		do   func()
	}{
		{"kill", func() { r.restart(p, syscall.SIGKILL) }},
		{"term", func() { r.restart(p, syscall.SIGTERM) }},
		{"pause", func() { r.pause(p) }},
		{"store down", func() { r.store.SetDown(true); r.after(900, func() { r.store.SetDown(false) }) }},
		{"store silent for one", func() {
			p.storeLink.silentFrom.Store(true)
			r.after(2500, func() { p.storeLink.silentFrom.Store(false); p.storeLink.reset() })
		}},
		{"store forgets", r.store.Compact},
		{"reset", link.reset},
		{"delay", func() { link.delay.Store(int64(40 * time.Millisecond)); r.after(1500, func() { link.delay.Store(0) }) }},
		{"silent to", func() { link.silentTo.Store(true); r.after(1500, func() { link.silentTo.Store(false); link.reset() }) }},
		{"silent from", func() {
			link.silentFrom.Store(true)
			r.after(1500, func() { link.silentFrom.Store(false); link.reset() })
		}},
		{"slow", func() { u.SetDelay(150 * time.Millisecond); r.after(1500, func() { u.SetDelay(0) }) }},
		{"shed", func() { u.SetShed(true); r.after(1500, func() { u.SetShed(false) }) }},
		{"change", r.change},
	}
	kind := kinds[r.random.IntN(len(kinds))]
	r.faults = append(r.faults, kind.name)
	kind.do()
}

// after ends a fault, also when the run is over by then.
func (r *run) after(ms int, heal func()) {
	r.wg.Add(1)
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		defer r.wg.Done()
		heal()
	})
}

// restart ends a daemon by a signal, checks that a planned stop is in time, and starts it again.
func (r *run) restart(p *process, signal syscall.Signal) {
	if p.paused || p.stopping.Load() {
		return
	}
	p.stopping.Store(signal == syscall.SIGTERM)
	started := time.Now()
	if err := p.cmd.Process.Signal(signal); err != nil {
		r.violate("the daemon ended by itself: %v", err)
	}
	err := p.cmd.Wait()
	if signal == syscall.SIGTERM && (err != nil || time.Since(started) > 4*time.Second) {
		r.violate("a planned stop took %v and ended with %v", time.Since(started), err)
	}
	p.stopping.Store(false)
	r.start(p)
}

// pause stops a daemon's process for a while.
func (r *run) pause(p *process) {
	if p.paused {
		return
	}
	p.paused = true
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		r.violate("the daemon ended by itself: %v", err)
	}
	time.Sleep(time.Duration(300+r.random.IntN(1200)) * time.Millisecond)
	if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		r.violate("the daemon ended by itself: %v", fmt.Errorf("after a pause: %w", err))
	}
	p.paused = false
}

// heal ends all faults.
func (r *run) heal() {
	r.store.SetDown(false)
	for _, p := range r.processes {
		p.storeLink.silentFrom.Store(false)
		p.storeLink.reset()
	}
	for i, link := range r.links {
		link.delay.Store(0)
		link.silentTo.Store(false)
		link.silentFrom.Store(false)
		link.reset()
		r.upstreams[i].SetDelay(0)
		r.upstreams[i].SetShed(false)
	}
}
