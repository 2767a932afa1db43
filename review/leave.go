//go:build review

package main

import (
	"fmt"
	"time"
)

// leave has clients that leave before their deadline: they end their side of the connection, and read what still comes
// until the daemon has closed its side. The rule is MIXED: a success has a stamp and the whole body of a backend.
func leave(w *world) (int, error) {
	w.configure(3, route{name: "r-fetch", prefix: "/timi402/", kind: "idempotent", timeout: 2500, service: "kafi81c"})
	for i, zone := range []string{"glasgow-a", "edinburgh-a", "aberdeen-a"} {
		b, err := w.addBackend(fmt.Sprintf("i-%d", i), "kafi81c", zone, 300*time.Millisecond)
		if err != nil {
			return 0, err
		}
		b.register("ready")
	}
	g, err := w.addGate("edge-glasgow-a-1", "glasgow-a")
	if err != nil {
		return 0, err
	}
	broken := 0
	for i := range 20 {
		c, err := w.dial(g)
		if err != nil {
			return 0, err
		}
		id := fmt.Sprintf("leave%04d", i)
		if err := c.send("GET", "/timi402/2f", id, 2500); err != nil {
			return 0, err
		}
		if w.trouble && i%5 == 0 {
			time.Sleep(100 * time.Millisecond)
			w.note("client leaves, id %s", id)
			_ = c.conn.CloseWrite()
		}
		a := c.receive(id, 3*time.Second)
		_ = c.conn.Close()
		if a.status/100 == 2 && (a.header.Get("X-Carawaytiller-Server-Stamp") == "" || a.body != body(id)) {
			w.note("BROKEN: a success without a backend's stamp or without its body, id %s", id)
			broken++
		}
	}
	return broken, nil
}
