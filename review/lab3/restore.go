package main

import (
	"fmt"
	"sync"
	"time"
)

// configApply is the bound ConfigApplyMs.
const configApply = 4000 * time.Millisecond

// restore is the drill in which the store comes back from a copy some seconds old. The operator changes the
// configuration a few times, the store comes back from a copy made before that, the operator and the backends write
// again what they wrote, and later the operator moves a route to another service and adds a route.
func restore(w *world, trouble bool) (bool, error) {
	var shards []string
	for i := range 4 {
		service := fmt.Sprintf("desk-%d", i)
		shards = append(shards, service)
		if err := w.addBackends(service, 2, 5*time.Millisecond); err != nil {
			return false, err
		}
	}
	for _, service := range []string{"files-old", "files-new"} {
		if err := w.addBackends(service, 3, 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	routes := func(timeout int, files string, added bool) []route {
		one := plainRoute("r-files", "/files/", files)
		one["TimeoutMs"] = timeout
		all := []route{gatherRoute("r-desk", "/desk/", shards), one}
		if added {
			all = append(all, plainRoute("r-added", "/added/", files))
		}
		return all
	}
	w.configure(1, routes(2500, "files-old", false))
	var err error
	if w.daemons, err = startDaemons(w.dir, w.store.address, 284); err != nil {
		return false, err
	}
	if err := awaitReady(w.daemons, 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	w.note("daemons are ready, store at revision %d", w.store.current())

	stop := make(chan struct{})
	var wg sync.WaitGroup
	w.load([]string{"/desk/", "/files/", "/added/"}, 40*time.Millisecond, stop, &wg)
	defer func() { close(stop); wg.Wait() }()
	time.Sleep(2 * time.Second)

	// Three changes of a time-out in the seconds that are lost.
	storeCopy := w.store.copyNow()
	w.note("copy of the store at revision %d", storeCopy.revision)
	const changes = 3
	for i := range changes {
		time.Sleep(time.Second)
		w.configure(int64(2+i), routes(2400-10*i, "files-old", false))
	}
	time.Sleep(time.Second)
	if trouble {
		w.note("store at revision %d goes away", w.store.current())
		if err := w.store.comeBackFrom(storeCopy, 500*time.Millisecond); err != nil {
			return false, err
		}
		w.note("store is back from the copy, which is %.1f s old, at revision %d, era %d", time.Since(storeCopy.taken).Seconds(), w.store.current(), w.store.era)
		w.configure(1+changes, routes(2400-10*(changes-1), "files-old", false))
	}
	time.Sleep(12 * time.Second)

	_, acknowledged := w.configure(2+changes, routes(2400, "files-new", true))
	time.Sleep(configApply + 6*time.Second)
	for _, b := range w.backends["files-old"] {
		w.store.put("servers/"+b.id, b.entry("draining"))
	}
	w.note("backends of files-old are draining")
	time.Sleep(5 * time.Second)
	for _, b := range w.backends["files-old"] {
		w.store.remove("servers/" + b.id)
		b.close()
	}
	gone := time.Now()
	w.note("backends of files-old are gone")
	time.Sleep(8 * time.Second)
	return w.judgeRestore(acknowledged.Add(configApply), gone), nil
}

// judgeRestore counts the requests that were sent later than due and handled as only an older configuration allows.
func (w *world) judgeRestore(due, gone time.Time) bool {
	w.mu.Lock()
	sent := make(map[string]answer)
	refused, late, lateServed := 0, 0, 0
	for _, a := range w.answers {
		sent[a.id] = a
		if a.sent.Before(due) {
			continue
		}
		if a.status == 404 {
			refused++
		}
		if a.sent.After(gone.Add(time.Second)) && !isDesk(a.target) {
			late++
			if a.status == 200 {
				lateServed++
			}
		}
	}
	old := 0
	for _, r := range w.runs {
		if a, ok := sent[r.id]; ok && a.sent.After(due) && r.service == "files-old" {
			old++
		}
	}
	w.mu.Unlock()
	w.note("requests sent later than ConfigApplyMs after the last acknowledgement: %d run by the service of the older version, %d refused with 404 on the added route", old, refused)
	w.note("requests on /files/ and /added/ sent after the old backends had gone: %d, answered with success: %d", late, lateServed)
	return old+refused > 0
}

func isDesk(target string) bool { return len(target) > 9 && target[:10] == "GET /desk/" }
