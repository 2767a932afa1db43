package main

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

const (
	// halfCloseRequests is the number of requests of each kind.
	halfCloseRequests = 50
	// halfCloseEvery is the number of clients of which one leaves, which is the share on the sheets.
	halfCloseEvery = 5
)

// halfClose sends requests of which some clients end their sending side before the answer. They still read.
func halfClose(w *world, trouble bool) (bool, error) {
	var shards []string
	for i := range 4 {
		service := fmt.Sprintf("desk-%d", i)
		shards = append(shards, service)
		if err := w.addBackends(service, 2, 30*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.addBackends("files", 3, 90*time.Millisecond); err != nil {
		return false, err
	}
	w.configure(1, []route{gatherRoute("r-desk", "/desk/", shards), plainRoute("r-files", "/files/", "files")})
	var err error
	if w.daemons, err = startDaemons(w.dir, w.store.address, 284); err != nil {
		return false, err
	}
	if err := awaitReady(w.daemons, 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	for i := range halfCloseRequests {
		c := w.newClient(w.daemons[i%len(w.daemons)])
		c.get(fmt.Sprintf("/desk/%x", i), time.Second, trouble && i%halfCloseEvery == 0)
		c.get(fmt.Sprintf("/files/%x", i), 2500*time.Millisecond, trouble && i%halfCloseEvery == 0)
		c.close()
	}
	return w.judgeSuccesses(), nil
}

// judgeSuccesses counts the successes that are not the answer of backends.
func (w *world) judgeSuccesses() bool {
	w.mu.Lock()
	good, wrong := 0, 0
	for _, a := range w.answers {
		switch {
		case a.status < 200 || a.status > 299:
		case isDesk(a.target) && a.parts != "", !isDesk(a.target) && isWholeAnswer(a):
			good++
		default:
			wrong++
		}
	}
	w.mu.Unlock()
	w.note("successes with the signatures of backends: %d, without: %d", good, wrong)
	return wrong > 0
}

// isWholeAnswer reports whether a success on a plain route is the whole answer of a backend.
func isWholeAnswer(a answer) bool {
	service := stampService(strings.TrimSpace(a.stamp), a.id)
	return service != "" && bytes.Equal(a.body, recordsOf(service, a.id))
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
