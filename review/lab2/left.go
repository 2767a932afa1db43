//go:build review2

package main

import (
	"fmt"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// daemonNames returns n names of machines in the order in which daemons of one region follow each other.
func daemonNames(n int) []string {
	names := make([]string, 0, n)
	for i := range n {
		names = append(names, fmt.Sprintf("edge-a-%d", i+1))
	}
	rank := func(name string) uint64 { return xxhash.Sum64String("relay\x00" + name) }
	sort.Slice(names, func(i, j int) bool { return rank(names[i]) > rank(names[j]) })
	return names
}

func init() { cases["left"] = playLeft }

// playLeft removes the entry of a server and restarts two daemons as planned while another one stands still.
func playLeft(w *world) bool {
	const drain, contact = 4 * time.Second, 5 * time.Second
	w.store.put("op/config", onlyRoute("case-files", "idempotent"))
	servers := []*server{}
	for i := range 4 {
		s := w.newServer(fmt.Sprintf("i-%d", i), "case-files", "a-1", 20*time.Millisecond)
		s.register("ready")
		servers = append(servers, s)
	}
	names := daemonNames(4)
	first, second, frozen, last := w.newDaemon(names[0], nil), w.newDaemon(names[1], nil), w.newDaemon(names[2], nil), w.newDaemon(names[3], nil)
	for _, d := range w.daemons {
		d.configure("a-1", "a", []string{last.control})
		d.startProcess()
	}
	for _, d := range w.daemons {
		d.awaitReady()
	}
	time.Sleep(22 * time.Second)

	if w.trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	stopped := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(stopped.Add(d))) }
	var restarts sync.WaitGroup
	for i, d := range []*daemon{first, second} { // A rolling restart.
		restarts.Add(1)
		go func() {
			defer restarts.Done()
			at(100*time.Millisecond + time.Duration(i)*time.Second)
			d.signal(syscall.SIGTERM)
			<-d.exited
			time.Sleep(50 * time.Millisecond)
			d.startProcess()
		}()
	}
	at(500 * time.Millisecond)
	left := servers[0]
	w.store.remove("servers/" + left.id)
	left.mu.Lock()
	left.leaving = true
	left.mu.Unlock()
	gone := time.Now()
	w.note("server %s: entry removed, it goes on serving", left.id)
	at(4 * time.Second)
	if w.trouble {
		frozen.signal(syscall.SIGCONT)
	}
	restarts.Wait()
	time.Sleep(time.Until(stopped.Add(4*time.Second + contact + time.Second)))

	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("late-%d", i)
			a := frozen.ask("GET", "/fetch/"+id, id, 2500*time.Millisecond, "")
			w.note("client: %s at %s: status %d, error %v", id, frozen.name, a.status, a.err)
		}()
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	late := left.arrivals(gone.Add(drain))
	for _, a := range late {
		w.note("server %s got %s %.1f s after its entry was removed, bound %v", left.id, a.id, a.at.Sub(gone).Seconds(), drain)
	}
	for _, line := range frozen.log("ollowed") {
		w.note("log of %s: %s", frozen.name, line)
	}
	for _, line := range second.log("Read ") {
		w.note("log of %s: %s", second.name, line)
	}
	return len(late) == 0
}
