package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// writer adds entries of another writer: each is like that of a backend, but a field is missing, of another type or not
// spelled as agreed. Behind each address runs a server of that writer, which is none of the configured services.
func writer(w *world, trouble bool) (bool, error) {
	for _, service := range []string{"files", "desk-0", "desk-1"} {
		if err := w.addBackends(service, 3, 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	w.configure(1, []route{plainRoute("r-files", "/files/", "files"), gatherRoute("r-desk", "/desk/", []string{"desk-0", "desk-1"})})
	var err error
	if w.daemons, err = startDaemons(w.dir, w.store.address, 284); err != nil {
		return false, err
	}
	if err := awaitReady(w.daemons, 15*time.Second); err != nil {
		return false, err
	}
	defects := []struct {
		name   string
		change func(entry map[string]any)
	}{
		{"no-version", func(e map[string]any) { delete(e, "Version") }},
		{"no-slots", func(e map[string]any) { delete(e, "Slots") }},
		{"no-sequence", func(e map[string]any) { delete(e, "Sequence") }},
		{"sequence-is-text", func(e map[string]any) { e["Sequence"] = "many" }},
		{"no-cold", func(e map[string]any) { delete(e, "ColdMs") }},
	}
	if trouble {
		for i, d := range defects {
			for _, service := range []string{"files", "desk-0"} {
				b, err := startBackend("x-"+d.name+"-"+service, "other", zones[i%len(zones)], 10*time.Millisecond, w.addRun)
				if err != nil {
					return false, err
				}
				w.backends["other"] = append(w.backends["other"], b)
				entry := b.entry("ready")
				entry["Service"] = service
				d.change(entry)
				w.store.put("servers/"+b.id, entry)
				w.note("another writer: entry servers/%s with %s", b.id, d.name)
			}
		}
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	w.load([]string{"/files/", "/desk/"}, 10*time.Millisecond, stop, &wg)
	time.Sleep(10 * time.Second)
	close(stop)
	wg.Wait()
	return w.judgeForeign(), nil
}

// judgeForeign counts the requests that servers of the other writer ran.
func (w *world) judgeForeign() bool {
	w.mu.Lock()
	byServer := make(map[string]int)
	foreign := 0
	for _, r := range w.runs {
		if r.service == "other" {
			byServer[r.backend]++
			foreign++
		}
	}
	answered := 0
	for _, a := range w.answers {
		if a.status == 200 && (stampService(a.stamp, a.id) == "other" || containsStamp(a.parts, stampOf("other", a.id))) {
			answered++
		}
	}
	runs := len(w.runs)
	w.mu.Unlock()
	w.note("requests run: %d, of them by servers of the other writer: %d %v", runs, foreign, fmt.Sprint(byServer))
	w.note("successes with data of these servers: %d", answered)
	return foreign > 0
}

// containsStamp reports whether a list of signatures holds one.
func containsStamp(list, stamp string) bool {
	for _, s := range strings.Split(list, ",") {
		if strings.TrimSpace(s) == stamp {
			return true
		}
	}
	return false
}
