package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  int64
	Created   int64 `json:",omitempty"`
	Lease     int64
	Compacted bool `json:",omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// storeCopy is a copy from which the store can come back.
type storeCopy struct {
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]lease
	taken    time.Time
}

// store is a stand-in of the platform's store: a key-value store with revisions, leases, watches and conditional
// transactions. It can come back from a copy that is some seconds old.
type store struct {
	mu       sync.Mutex
	address  string
	server   *http.Server
	revision int64
	era      int64
	items    map[string]item
	events   []item
	leases   map[int64]lease
	lastID   int64
	changed  chan struct{}
}

const pageItems = 500

func newStore() *store {
	return &store{
		revision: 1, era: 1, items: make(map[string]item), leases: make(map[int64]lease), changed: make(chan struct{}),
	}
}

// listen starts to serve at the store's address; the first call chooses a free port.
func (s *store) listen() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// put writes a key without a lease, as the operator and the backends do. It returns the new revision.
func (s *store) put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, data, 0)
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

func (s *store) set(key string, value []byte, leaseID int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = it
	s.record(it)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Compacted: true})
}

func (s *store) record(it item) {
	s.events = append(s.events, it)
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyNow returns a copy of the store.
func (s *store) copyNow() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, items: make(map[string]item), leases: make(map[int64]lease), taken: time.Now()}
	for k, v := range s.items {
		c.items[k] = v
	}
	for k, v := range s.leases {
		c.leases[k] = v
	}
	c.events = append(c.events, s.events...)
	return c
}

// comeBackFrom takes the store away for a moment and brings it back from a copy. Leases of the copy run on.
func (s *store) comeBackFrom(c storeCopy, away time.Duration) error {
	_ = s.server.Close()
	time.Sleep(away)
	s.mu.Lock()
	s.revision, s.items, s.events, s.leases = c.revision, c.items, c.events, c.leases
	for id, l := range s.leases {
		l.end = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.era++
	s.wake()
	s.mu.Unlock()
	return s.listen()
}

func (s *store) current() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *store) endExpired() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.drop(key)
	}
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/carawaytiller/"), "/")
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.endExpired()
	if kind == "kv-watch" {
		s.serveWatch(w, r)
		return
	}
	defer s.mu.Unlock()
	leaseID, _ := strconv.ParseInt(id, 10, 64)
	switch kind {
	case "kv-key":
		it, ok := s.items[r.URL.Query().Get("Key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, it)
	case "kv-range":
		s.serveRange(w, r)
	case "kv-txn":
		s.serveTransaction(w, r)
	case "kv-lease":
		var body struct {
			Millis int64 `json:"TtlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.lastID++
		ttl := time.Duration(body.Millis) * time.Millisecond
		s.leases[s.lastID] = lease{ttl, time.Now().Add(ttl)}
		writeJSON(w, map[string]int64{"Lease": s.lastID, "TtlMs": body.Millis})
	case "kv-keep":
		l, ok := s.leases[leaseID]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		l.end = time.Now().Add(l.ttl)
		s.leases[leaseID] = l
		writeJSON(w, map[string]int64{"TtlMs": l.ttl.Milliseconds()})
	case "kv-lease-end":
		s.endLease(leaseID)
		writeJSON(w, map[string]int64{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("Prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items      []item `json:"items"`
		HasMore    bool
		CurrentRev int64
	}{Items: []item{}, HasMore: len(keys) > pageItems, CurrentRev: s.revision}
	for _, key := range keys[:min(len(keys), pageItems)] {
		page.Items = append(page.Items, s.items[key])
	}
	writeJSON(w, page)
}

// serveWatch is called with mu locked and unlocks it.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("Prefix")) {
				events = append(events, e)
			}
		}
		current, changed := s.revision, s.changed
		s.mu.Unlock()
		if after > current {
			// The store does not have this revision.
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "CurrentRev": current})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": events, "CurrentRev": current})
			return
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []struct {
			Key      string
			Revision int64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range body.Expect {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			writeJSON(w, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, x := range body.Writes {
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, x := range body.Writes {
		s.set(x.Key, x.Value, x.Lease)
	}
	for _, key := range body.Remove {
		s.drop(key)
	}
	writeJSON(w, map[string]int64{"Revision": s.revision})
}

func writeJSON(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprint("encode: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
