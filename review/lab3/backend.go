package main

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	requestIDHeader = "X-Carawaytiller-Request-Id"
	deadlineHeader  = "X-Carawaytiller-Request-Deadline"
	stampHeader     = "X-Carawaytiller-Server-Stamp"
	instanceHeader  = "X-Carawaytiller-Expect-Instance"
	notRunHeader    = "X-Carawaytiller-Not-Executed"
	partsHeader     = "X-Carawaytiller-Part-Stamps"
	missingHeader   = "X-Carawaytiller-Missing-Parts"
)

// run is one request that a backend ran.
type run struct {
	id, service, backend, target string
	at                           time.Time
}

// backend is a stand-in of a sound backend. It runs each request that names it.
type backend struct {
	id, service, zone, address string
	work                       time.Duration
	born                       int64
	server                     *http.Server
	onRun                      func(run)
	// slots is the number of requests that run at a time; the backend rejects further ones. 0 means no limit.
	slots int
	// onCrash, if not nil, is called when a request crashes the backend.
	onCrash func(*backend)
	mu      sync.Mutex
	running int
}

// deadly is part of the path of a request that crashes each backend that runs it.
const deadly = "deadly"

func startBackend(id, service, zone string, work time.Duration, onRun func(run)) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, service: service, zone: zone, address: l.Addr().String(), work: work, born: time.Now().UnixMilli(), onRun: onRun}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	return b, nil
}

// entry is what the backend writes of itself to the store.
func (b *backend) entry(state string) map[string]any {
	slots := 6
	if b.slots > 0 {
		slots = b.slots
	}
	return map[string]any{
		"Service": b.service, "Address": b.address, "Zone": b.zone, "Version": "v1", "Slots": slots, "State": state,
		"ColdMs": 0, "Sequence": 1, "born": b.born,
	}
}

func (b *backend) close() { _ = b.server.Close() }

// ServeHTTP runs a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Carawaytiller-Instance-Id", b.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(requestIDHeader)
	w.Header().Set(requestIDHeader, id)
	if expected := r.Header.Get(instanceHeader); expected != "" && expected != b.id {
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	if b.slots > 0 && b.running >= b.slots {
		w.Header().Set("X-Carawaytiller-Server-Load", fmt.Sprintf("%d,0,%d", b.running, b.slots))
		b.mu.Unlock()
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.running++
	w.Header().Set("X-Carawaytiller-Server-Load", fmt.Sprintf("%d,0,6", b.running))
	b.mu.Unlock()
	b.onRun(run{id: id, service: b.service, backend: b.id, target: r.Method + " " + r.RequestURI + " " + string(body), at: time.Now()})
	if b.onCrash != nil && strings.Contains(r.URL.Path, deadly) {
		b.onCrash(b)
		return
	}
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
	}
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	answer := recordsOf(b.service, id)
	w.Header().Set(stampHeader, stampOf(b.service, id))
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = w.Write(answer)
}

// recordsOf returns the records of a service for a request. All its backends answer alike.
func recordsOf(service, id string) []byte {
	var out bytes.Buffer
	for i := range 5 {
		h := fnv.New64a()
		fmt.Fprint(h, service, "/", id, "/", i)
		_ = binary.Write(&out, binary.BigEndian, h.Sum64())
		_ = binary.Write(&out, binary.BigEndian, uint64(i))
	}
	return out.Bytes()
}

// stampOf returns the signature of a service's answer to a request.
func stampOf(service, id string) string {
	h := fnv.New64a()
	fmt.Fprint(h, service, "/", id)
	return service + "." + hex.EncodeToString(h.Sum(nil))
}

// stampService returns the service that signed an answer to a request; "" if it is no signature for it.
func stampService(stamp, id string) string {
	service, _, _ := strings.Cut(stamp, ".")
	if stamp != stampOf(service, id) {
		return ""
	}
	return service
}
