//go:build review2

package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in of a backend.
type server struct {
	world             *world
	id, service, zone string
	address           string
	born              int64
	// quiet keeps single requests out of the record.
	quiet bool

	mu sync.Mutex
	// leaving makes all answers say that the server is about to end.
	leaving bool
	work    time.Duration
	runs    map[string]int
	arrived []arrival
	serial  int
}

// arrival is a request that reached a server.
type arrival struct {
	id string
	at time.Time
}

// newServer starts a server.
func (w *world) newServer(id, service, zone string, work time.Duration) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("server: %v", err)
	}
	s := &server{
		world: w, id: id, service: service, zone: zone, address: l.Addr().String(), work: work, runs: map[string]int{},
		born: time.Now().UnixMilli(),
	}
	go func() { _ = http.Serve(l, s) }()
	return s
}

// register writes the entry of the server to the store.
func (s *server) register(state string) {
	s.world.store.put("servers/"+s.id, map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": 2, "State": state, "ColdMs": 0,
		"Sequence": 1, "born": s.born,
	})
	s.world.note("server %s: entry written, %s", s.id, state)
}

// arrivals returns the requests that reached the server after a time.
func (s *server) arrivals(after time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []arrival
	for _, a := range s.arrived {
		if a.at.After(after) {
			found = append(found, a)
		}
	}
	return found
}

// ServeHTTP serves one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Carawaytiller-Request-Id")
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("X-Carawaytiller-Instance-Id", s.id)
		return
	}
	h.Set("X-Carawaytiller-Request-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	if wanted := r.Header.Get("X-Carawaytiller-Expect-Instance"); wanted != "" && wanted != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.serial++
	serial, leaving, work := s.serial, s.leaving, s.work
	s.arrived = append(s.arrived, arrival{id, time.Now()})
	s.mu.Unlock()
	if !s.quiet {
		s.world.note("server %s: runs %s", s.id, id)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	h.Set("X-Carawaytiller-Server-Load", "1,0,2")
	h.Set("X-Carawaytiller-Server-Stamp", fmt.Sprintf("%s.%s.%d", s.id, id, serial))
	h.Set("Content-Type", "application/octet-stream")
	sum := sha256.Sum256([]byte(s.id + id))
	_, _ = w.Write(sum[:])
}

// runsOf returns how often the server ran a request.
func (s *server) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
