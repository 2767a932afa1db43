package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// memoryMb is the memory of a small machine of the grown deployments.
	memoryMb = 184
	// addedRoutes is the largest number of routes by which a configuration grows there.
	addedRoutes = 1400
	// stormChanges and stormGap are those of the shortest storm of configurations on the sheets.
	stormChanges = 25
	stormGap     = 60 * time.Millisecond
	stormPause   = time.Second
	// clientsPerDaemon is the number of clients with a kept connection to each daemon.
	clientsPerDaemon = 16
	// allowedLosses is the number of such requests of one daemon that the rule LOST allows.
	allowedLosses = 3
	// longestStorms bounds the time of all storms.
	longestStorms = 90 * time.Second
	// longestCalm is the time of a run without storms.
	longestCalm = 30 * time.Second
)

// memory grows the configuration by many routes and changes it in storms. The platform kills a process that exceeds its
// memory, and starts it again.
func memory(w *world, trouble bool) (bool, error) {
	if err := w.addBackends("files", 12, 100*time.Millisecond); err != nil {
		return false, err
	}
	routes := []route{plainRoute("r-files", "/files/", "files")}
	for i := range addedRoutes {
		routes = append(routes, plainRoute(fmt.Sprintf("r-%05d", i), fmt.Sprintf("/added%05d/", i), "files"))
	}
	w.configure(1, routes)
	var err error
	if w.daemons, err = startDaemons(w.dir, w.store.address, memoryMb); err != nil {
		return false, err
	}
	if err := awaitReady(w.daemons, 15*time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range clientsPerDaemon {
		w.load([]string{"/files/"}, 20*time.Millisecond, stop, &wg)
	}
	kills := w.limitMemory(stop, &wg)
	version := int64(1)
	longest := longestStorms
	if !trouble {
		longest = longestCalm
	}
	for end := time.Now().Add(longest); time.Now().Before(end) && kills() < len(w.daemons); time.Sleep(stormPause) {
		for range stormChanges {
			if !trouble {
				break
			}
			version++
			routes[1]["TimeoutMs"] = 1000 + version
			w.configure(version, routes)
			time.Sleep(stormGap)
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	w.note("versions of the configuration: %d, processes killed for their memory: %d", version, kills())
	return w.judgeLost(), nil
}

// limitMemory kills each process that exceeds its memory, and starts it again.
func (w *world) limitMemory(stop <-chan struct{}, wg *sync.WaitGroup) (kills func() int) {
	var mu sync.Mutex
	n := 0
	for _, d := range w.daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			shown := 0
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				resident := d.residentMb()
				if resident >= shown+20 {
					shown = resident
					w.note("%s holds %d MB", d.name, resident)
				}
				if resident <= memoryMb {
					continue
				}
				w.note("%s exceeds its memory with %d MB and is killed", d.name, resident)
				d.kill()
				mu.Lock()
				n++
				mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				if err := d.start(); err != nil {
					w.note("%s did not start: %v", d.name, err)
					return
				}
				shown = 0
			}
		}()
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

// judgeLost counts, for each daemon, the requests that a backend ran and whose connection was closed without an answer.
func (w *world) judgeLost() bool {
	w.mu.Lock()
	ran := make(map[string]bool)
	for _, r := range w.runs {
		ran[r.id] = true
	}
	lost := make(map[string]int)
	for _, a := range w.answers {
		if ran[a.id] && a.kept && a.status == 0 && (strings.Contains(a.err, "EOF") || strings.Contains(a.err, "reset")) {
			lost[a.daemon]++
		}
	}
	w.mu.Unlock()
	broken := false
	for _, d := range w.daemons {
		w.note("requests to %s that ran at a sound backend and whose kept connection was closed without an answer: %d", d.name, lost[d.name])
		broken = broken || lost[d.name] > allowedLosses
	}
	return broken
}
