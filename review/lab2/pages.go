//go:build review2

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["pages"] = playPages }

// playPages restarts a daemon as planned while servers are being replaced. Each page of its first read of the store comes
// from another copy of the store, one of which is three seconds behind.
func playPages(w *world) bool {
	const drain, contact = 4 * time.Second, 5 * time.Second
	config := onlyRoute("case-files", "idempotent")
	w.store.put("op/config", config)
	register := func(n int, service string) *server {
		s := w.newServer(fmt.Sprintf("i-%02d", n), service, "a-1", 20*time.Millisecond)
		s.register("ready")
		return s
	}
	var servers []*server
	for n := range 4 {
		servers = append(servers, register(n, "case-files"))
	}
	for n := range 60 {
		register(10+n, fmt.Sprintf("dues-ledger-%d", n/2))
	}
	first, other := w.newDaemon("edge-a-1", nil), w.newDaemon("edge-a-2", nil)
	for _, d := range w.daemons {
		d.configure("a-1", "a", []string{first.control})
		d.startProcess()
	}
	for _, d := range w.daemons {
		d.awaitReady()
	}
	time.Sleep(21 * time.Second)

	var stale atomic.Int64
	if w.trouble {
		w.store.staleRevision = func(_, newest int64) int64 {
			behind := newest
			if stale.Add(1) == 2 {
				behind = w.store.revisionAt(3 * time.Second)
			}
			w.note("store: stale read %d reflects revision %d of %d", stale.Load(), behind, newest)
			return behind
		}
	}
	// The daemons are restarted in turn.
	other.signal(syscall.SIGTERM)
	time.Sleep(1300 * time.Millisecond)
	first.signal(syscall.SIGTERM)
	<-other.exited
	left := servers[0]
	left.register("draining")
	left.mu.Lock()
	left.leaving = true
	left.mu.Unlock()
	gone := time.Now()
	register(80, "dues-ledger-30") // a replacement starts
	other.startProcess()
	other.awaitReady()
	config["Version"] = 9
	w.store.put("op/config", config)
	<-first.exited
	time.Sleep(200 * time.Millisecond)
	stale.Store(0)
	first.startProcess()
	first.awaitReady()
	time.Sleep(contact + time.Second)

	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("late-%d", i)
			a := first.ask("GET", "/fetch/"+id, id, 2500*time.Millisecond, "")
			w.note("client: %s at %s: status %d, error %v", id, first.name, a.status, a.err)
		}()
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	late := left.arrivals(gone.Add(drain))
	for _, a := range late {
		w.note("server %s got %s %.1f s after it reported that it drains, bound %v", left.id, a.id, a.at.Sub(gone).Seconds(), drain)
	}
	for _, line := range first.log("Read ") {
		w.note("log of %s: %s", first.name, line)
	}
	return len(late) == 0
}
