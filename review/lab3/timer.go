package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// harmfulRounds is the number of harmful requests. Each is sent twice.
	harmfulRounds = 18
	// harmfulPause is the time between the two, and the time from the second one to the next harmful request.
	harmfulPause = 2400 * time.Millisecond
	// settlePause is the time after the second one in which the daemon learns what crashed.
	settlePause = time.Second
	// backAfter is the time after which a backend that crashed is back, entryGoneIn the one after which its entry goes.
	backAfter   = 2 * time.Second
	entryGoneIn = 3600 * time.Millisecond
	// fullTimeout is the TimeoutMs of the route to the full backend, answerSlack what the rule allows after it.
	fullTimeout = 1000 * time.Millisecond
	answerSlack = 500 * time.Millisecond
	// fullClients is the number of clients that send a request to the full backend at a time.
	fullClients = 4
)

// timer sends requests that crash the backends that run them to a daemon with little other traffic, and watches how long
// requests are held whose backend is full.
func timer(w *world, trouble bool) (bool, error) {
	if err := w.addBackends("jobs", 6, 10*time.Millisecond); err != nil {
		return false, err
	}
	if err := w.addBackends("files", 1, 300*time.Millisecond); err != nil {
		return false, err
	}
	full := w.backends["files"][0]
	full.slots = 1
	w.store.put("servers/"+full.id, full.entry("ready"))
	for _, b := range w.backends["jobs"] {
		b.onCrash = w.crash
	}
	jobs := plainRoute("r-jobs", "/jobs/", "jobs")
	jobs["RouteType"], jobs["TargetLatencyMs"] = "non_idempotent", 150
	files := plainRoute("r-files", "/files/", "files")
	files["TimeoutMs"] = fullTimeout.Milliseconds()
	w.configure(1, []route{jobs, files})
	var err error
	if w.daemons, err = startDaemons(w.dir, w.store.address, 284); err != nil {
		return false, err
	}
	if err := awaitReady(w.daemons, 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	quiet, busy := w.daemons[0], w.daemons[1]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 2 {
		wg.Add(1)
		go w.keepBusy(busy, stop, &wg)
	}
	defer func() { close(stop); wg.Wait() }()
	held := 0
	for i := range harmfulRounds {
		path := fmt.Sprintf("/jobs/plain-%d", i)
		if trouble {
			path = fmt.Sprintf("/jobs/%s-%d", deadly, i)
		}
		w.newClient(quiet).get(path, time.Second)
		time.Sleep(harmfulPause)
		w.newClient(quiet).get(path, time.Second)
		time.Sleep(settlePause)
		if held = w.countHeld(quiet); held > 0 {
			w.note("after %d harmful requests that came twice: %d of %d requests are still unanswered %v after their route's timeout", i+1, held, fullClients, answerSlack)
			break
		}
		time.Sleep(harmfulPause - settlePause)
	}
	if held > 0 {
		again := 0
		for range 5 {
			again += w.countHeld(quiet)
		}
		w.note("of %d further requests %d are unanswered at that time; the daemon is ready: %t", 5*fullClients, again, quiet.isReady())
		held = again
	}
	late, all := w.countUnanswered(quiet)
	w.note("requests to %s that were unanswered at their route's timeout: %d, of them without an answer %v later: %d", quiet.name, all, answerSlack, late)
	return held > 0 && 2*late > all, nil
}

// crash ends a backend. It is back under another Id and address after a while.
func (w *world) crash(b *backend) {
	b.close()
	w.note("%s crashes", b.id)
	time.AfterFunc(entryGoneIn, func() { w.store.remove("servers/" + b.id) })
	time.AfterFunc(backAfter, func() {
		w.mu.Lock()
		w.restarts++
		id := fmt.Sprintf("i-%s-back-%d", b.service, w.restarts)
		w.mu.Unlock()
		next, err := startBackend(id, b.service, b.zone, b.work, w.addRun)
		if err != nil {
			w.note("%s did not start: %v", id, err)
			return
		}
		next.onCrash = w.crash
		w.mu.Lock()
		w.backends[b.service] = append(w.backends[b.service], next)
		w.mu.Unlock()
		w.store.put("servers/"+id, next.entry("ready"))
	})
}

// keepBusy sends one request after the other to the full backend through another daemon.
func (w *world) keepBusy(d *daemon, stop <-chan struct{}, wg *sync.WaitGroup) {
	defer wg.Done()
	c := w.newClient(d)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		c.get(fmt.Sprintf("/files/busy-%x", i), 2*time.Second)
	}
}

// countHeld sends requests to the full backend and returns how many have no answer when the rule wants one.
func (w *world) countHeld(d *daemon) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	held := 0
	for i := range fullClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := w.newClient(d).get(fmt.Sprintf("/files/check-%d", i), fullTimeout+2*answerSlack)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 0 && a.took > fullTimeout+answerSlack {
				held++
			}
		}()
	}
	wg.Wait()
	return held
}

// countUnanswered returns the number of requests on the route to the full backend that had no answer at its timeout, and
// of those that had none a while later.
func (w *world) countUnanswered(d *daemon) (late, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.answers {
		if a.daemon != d.name || !strings.HasPrefix(a.target, "GET /files/check") || a.took < fullTimeout {
			continue
		}
		all++
		if a.took > fullTimeout+answerSlack {
			late++
		}
	}
	return late, all
}
