//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// backend is a server of one service. It answers as the pages say and counts what it has run.
type backend struct {
	w                 *world
	id, service, zone string
	address           string
	listener          net.Listener
	// work is the time that a request takes.
	work time.Duration
	// status is the status of its answers.
	status func(r *http.Request) int
	// leaving makes it say in all answers that it is leaving.
	leaving bool
	// room is the number of requests that it takes at a time, run or queued; 0 means any number. It sheds the others.
	room int
	// copyShare is the part of its answers that are sent a second time. They are rejections. The copy arrives late, at
	// the point where the next answer on the connection is expected.
	copyShare float64

	mu      sync.Mutex
	runs    map[string]int
	taken   int
	answers int
	copied  int
}

// body is the answer of a backend.
func body(id string) string { return "the record of request " + id + "\n" }

// addBackend starts a backend. It is known to nobody until register is called.
func (w *world) addBackend(id, service, zone string, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		w: w, id: id, service: service, zone: zone, address: l.Addr().String(), listener: l, work: work,
		runs: make(map[string]int),
	}
	go b.serve()
	return b, nil
}

// register writes the backend's entry to the store.
func (b *backend) register(state string) {
	b.w.note("store: backend %s is %s", b.id, state)
	b.w.store.Put("servers/"+b.id, fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":6,"State":%q,"ColdMs":0,"Sequence":1,"born":1796480000000}`,
		b.service, b.address, b.zone, state))
}

func (b *backend) serve() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serveConn(conn)
	}
}

// serveConn serves the requests of a connection one after the other.
func (b *backend) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		if late != "" {
			b.w.note("backend %s sends the second copy of an answer, id %s is expected next", b.id, requestID(r))
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		answer := b.answer(r)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if b.copies(answer) {
			late = answer
		}
	}
}

// copies reports whether the answer that was just sent is sent a second time.
func (b *backend) copies(answer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers++
	if !strings.HasPrefix(answer, "HTTP/1.1 503 ") || float64(b.copied+1) > b.copyShare*float64(b.answers) {
		return false
	}
	b.copied++
	return true
}

// setCopies sets the part of the answers that are sent a second time from now on.
func (b *backend) setCopies(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.copyShare, b.answers, b.copied = share, 0, 0
}

func requestID(r *http.Request) string { return r.Header.Get("X-Carawaytiller-Request-Id") }

// take reports whether there is room for a request, and takes it.
func (b *backend) take(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.room > 0 && b.taken >= b.room {
		return false
	}
	b.taken++
	b.runs[id]++
	return true
}

// answer runs a request and returns the answer.
func (b *backend) answer(r *http.Request) string {
	id := requestID(r)
	head := "X-Carawaytiller-Request-Id: " + id + "\r\n"
	if b.leaving {
		head += "Server-Leaving: 1\r\n"
	}
	if expected := r.Header.Get("X-Carawaytiller-Expect-Instance"); expected != "" && expected != b.id {
		return "HTTP/1.1 421 Misdirected Request\r\n" + head + "Content-Length: 0\r\n\r\n"
	}
	if !b.take(id) {
		b.w.note("backend %s has no room for id %s", b.id, id)
		return "HTTP/1.1 503 Service Unavailable\r\n" + head + "X-Carawaytiller-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	defer func() {
		b.mu.Lock()
		b.taken--
		b.mu.Unlock()
	}()
	b.w.note("backend %s runs %s %s, id %s", b.id, r.Method, r.URL.Path, id)
	time.Sleep(b.work)
	status := http.StatusOK
	if b.status != nil {
		status = b.status(r)
	}
	text := body(id)
	if status != http.StatusOK {
		text = ""
	}
	b.w.note("backend %s answers %d to id %s", b.id, status, id)
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sX-Carawaytiller-Server-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), head, b.id, id, len(text), text)
}

// ran returns how often a backend has run a request.
func (b *backend) ran(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// route is one route of the configuration.
type route struct {
	name, prefix, kind string
	timeout            int
	service            string
	gather             []string
	topK               int
	least              float64
}

// configure writes a version of the configuration to the store.
func (w *world) configure(version int, routes ...route) {
	var b strings.Builder
	services := make(map[string]bool)
	for i, r := range routes {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"Name":%q,"Host":"pupu76.example","Prefix":%q,"RouteType":%q,"TimeoutMs":%d,"TargetLatencyMs":400,"Priority":2,"Attempts":2,"AllowedRegions":[]`,
			r.name, r.prefix, r.kind, r.timeout)
		if r.service != "" {
			fmt.Fprintf(&b, `,"Service":%q`, r.service)
			services[r.service] = true
		}
		if len(r.gather) > 0 {
			fmt.Fprintf(&b, `,"Gather":["%s"],"TopK":%d,"MinCoverage":%g`, strings.Join(r.gather, `","`), r.topK, r.least)
			for _, s := range r.gather {
				services[s] = true
			}
		}
		b.WriteString("}")
	}
	var names []string
	for s := range services {
		names = append(names, fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","MaxConnections":110,"ColdS":3.0,"WarmupPerS":0.0}`, s))
	}
	w.note("store: configuration %d", version)
	w.store.Put("op/config", fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[%s],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`,
		version, b.String(), strings.Join(names, ",")))
}
