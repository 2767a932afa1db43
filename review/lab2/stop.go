//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// playStop stops a daemon as planned and changes its settings file one second later, which SIGHUP indicates.
func playStop(w *world) bool {
	w.store.put("op/config", onlyRoute("case-files", "non_idempotent"))
	var servers []*server
	for i := range 4 {
		s := w.newServer(fmt.Sprintf("i-%d", i), "case-files", "a-1", 200*time.Millisecond)
		s.register("ready")
		servers = append(servers, s)
	}
	d, other := w.newDaemon("edge-a-1", nil), w.newDaemon("edge-a-2", nil)
	d.startProcess()
	other.startProcess()
	d.awaitReady()
	other.awaitReady()
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	lost := 0
	var wg sync.WaitGroup
	end := time.Now().Add(2500 * time.Millisecond) // The platform then sends the daemon no new connections.
	for n := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 43 * time.Millisecond)
			client := &http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{}}
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("c%d-%d", n, i)
				a := d.askWith(client, "POST", "/fetch/"+id, id, 2500*time.Millisecond, "body")
				ran := 0
				for _, s := range servers {
					ran += s.runsOf(id)
				}
				w.note("client: %s: status %d, error %v, run by %d servers", id, a.status, a.err, ran)
				if a.err != nil && ran > 0 {
					mu.Lock()
					lost++
					mu.Unlock()
				}
				if a.err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	d.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if w.trouble {
		d.slack = 60
		d.configure("a-1", "a", nil)
		d.signal(syscall.SIGHUP)
	}
	wg.Wait()
	select {
	case <-d.exited:
	case <-time.After(7 * time.Second):
		w.note("daemon %s still runs 6 s after its grace has begun", d.name)
	}
	w.note("%d requests were passed on to a server, and their connection ended without an answer", lost)
	return lost == 0
}
