//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// copyFor and copyPause are the length of a disruption and the pause before the next one.
	copyFor   = 5 * time.Second
	copyPause = 2 * time.Second
	// copyShare is the part of its answers that the disturbed backend sends a second time meanwhile.
	copyShare = 0.03
	// twiceFor is the time for which the clients send.
	twiceFor = 84 * time.Second
	// clients is the number of clients that send one request after the other. They fill the backends at times.
	clients = 19
	// slots and queue are those of a backend; workFor is the time that a request takes.
	slots   = 6
	queue   = 2
	workFor = 90 * time.Millisecond
)

// twice has a fleet of 8 daemons, two backends that are full at times, and clients whose requests may run once. One
// of the backends sends some of its rejections a second time, late. The rules are TWICE and REFUSED.
func twice(w *world) (int, error) {
	w.configure(3, route{name: "r-print", prefix: "/timi402/", kind: "non_idempotent", timeout: 2500, service: "kafi81c"})
	var backends []*backend
	for i, zone := range []string{"glasgow-a", "edinburgh-a"} {
		b, err := w.addBackend(fmt.Sprintf("i-%d", i), "kafi81c", zone, workFor)
		if err != nil {
			return 0, err
		}
		b.room = slots + queue
		b.register("ready")
		backends = append(backends, b)
	}
	for i := range 8 {
		zone := []string{"glasgow-a", "edinburgh-a", "aberdeen-a"}[i%3]
		if _, err := w.addGate(fmt.Sprintf("edge-%s-%d", zone, 1+i/3), zone); err != nil {
			return 0, err
		}
	}
	until := time.Now().Add(twiceFor)
	if w.trouble {
		go func() {
			for time.Now().Before(until) {
				backends[0].setCopies(copyShare)
				time.Sleep(copyFor)
				backends[0].setCopies(0)
				time.Sleep(copyPause)
			}
		}()
	}
	var wg sync.WaitGroup
	outcomes := make([]map[string]int, clients)
	for n := range clients {
		outcomes[n] = make(map[string]int)
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.print(n, until, outcomes[n])
		}()
	}
	wg.Wait()
	broken, sent := 0, 0
	for _, statuses := range outcomes {
		for id, status := range statuses {
			sent++
			ran := 0
			for _, b := range backends {
				ran += b.ran(id)
			}
			switch {
			case ran > 1:
				w.note("BROKEN: TWICE: id %s has run %d times and was answered %d", id, ran, status)
				broken++
			case ran > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
				w.note("BROKEN: REFUSED: id %s has run and was answered %d", id, status)
				broken++
			}
		}
	}
	w.note("%d requests were sent", sent)
	return broken, nil
}

// print sends the requests of one client, each on a new connection, and stores the statuses of the answers by id. The
// client waits as long as an answer asks for.
func (w *world) print(n int, until time.Time, statuses map[string]int) {
	for i := 0; time.Now().Before(until); i++ {
		c, err := w.dial(w.gates[n%len(w.gates)])
		if err != nil {
			w.note("client %d found no connection: %v", n, err)
			time.Sleep(time.Second)
			continue
		}
		id := fmt.Sprintf("c%02d-%05d", n, i)
		var a answer
		if err := c.send("POST", "/timi402/2f", id, 2500); err == nil {
			a = c.receive(id, 3*time.Second)
		}
		_ = c.conn.Close()
		statuses[id] = a.status
		pause := time.Duration(20+rand.IntN(60)) * time.Millisecond
		if after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
			pause = time.Duration(after * float64(time.Second))
		}
		time.Sleep(pause)
	}
}
