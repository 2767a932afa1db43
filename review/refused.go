//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// failFor is the length of the disturbance; failEach is the number of a backend's runs of which two fail.
	failFor  = 6500 * time.Millisecond
	failEach = 5
)

// refused has one of seven backends that fails a part of its requests, with status 503 and its own stamp, after it has
// run them. The rule is REFUSED: a request that may run once and has run is not answered 503.
func refused(w *world) (int, error) {
	w.configure(3, route{name: "r-print", prefix: "/timi402/", kind: "non_idempotent", timeout: 2500, service: "kafi81c"})
	var backends []*backend
	for i, zone := range []string{"glasgow-a", "edinburgh-a", "aberdeen-a", "glasgow-a", "edinburgh-a", "aberdeen-a", "glasgow-a"} {
		b, err := w.addBackend(fmt.Sprintf("i-%d", i), "kafi81c", zone, workFor)
		if err != nil {
			return 0, err
		}
		b.register("ready")
		backends = append(backends, b)
	}
	g, err := w.addGate("edge-glasgow-a-1", "glasgow-a")
	if err != nil {
		return 0, err
	}
	started, n := time.Now(), 0
	if w.trouble {
		backends[0].status = func(*http.Request) int {
			if n++; time.Since(started) < failFor && n%failEach < 2 {
				return http.StatusServiceUnavailable
			}
			return http.StatusOK
		}
	}
	broken := 0
	for i := 0; time.Since(started) < failFor+time.Second; i++ {
		c, err := w.dial(g)
		if err != nil {
			return 0, err
		}
		id := fmt.Sprintf("print%04d", i)
		if err := c.send("POST", "/timi402/2f", id, 2500); err != nil {
			return 0, err
		}
		a := c.receive(id, 3*time.Second)
		_ = c.conn.Close()
		ran := 0
		for _, b := range backends {
			ran += b.ran(id)
		}
		if ran > 0 && a.status == http.StatusServiceUnavailable {
			w.note("BROKEN: REFUSED: id %s has run and was answered 503", id)
			broken++
		}
	}
	return broken, nil
}
