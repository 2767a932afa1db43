//go:build review2

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pageItems is the number of items on a page of a range read. The store may return fewer than its maximum of about 500.
const pageItems = 50

// storeItem is one key of the store, as a read or a watch returns it.
type storeItem struct {
	Key       string
	Value     []byte
	Revision  int64
	Created   int64
	Lease     int64
	Compacted bool `json:",omitempty"`
}

// storeLease is a lease and the time of its end.
type storeLease struct {
	ttl time.Duration
	end time.Time
}

// leaseMillis is the body of a grant and of the answers to grants and renewals.
type leaseMillis struct {
	Lease  int64 `json:",omitempty"`
	Millis int64 `json:"TtlMs"`
}

// store is a stand-in of the platform's store. Each daemon reaches it through a gate of its own.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	events   []storeItem
	times    []time.Time
	history  time.Duration
	leases   map[int64]storeLease
	changed  chan struct{}
	// staleRevision returns the revision that a stale read reflects, of those from oldest to newest.
	staleRevision func(oldest, newest int64) int64
}

func newStore(history time.Duration) *store {
	return &store{
		revision: 100, items: map[string]storeItem{}, leases: map[int64]storeLease{}, changed: make(chan struct{}), history: history,
		staleRevision: func(_, newest int64) int64 { return newest },
	}
}

// put writes a key as an operator or a server does, and returns the revision.
func (s *store) put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
	return s.revision
}

// remove removes a key and returns the revision.
func (s *store) remove(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
	return s.revision
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := storeItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.record(it)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, Revision: s.revision, Compacted: true})
}

func (s *store) record(it storeItem) {
	s.events, s.times = append(s.events, it), append(s.times, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time has come.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.drop(key)
		}
	}
}

// at returns the items as of a revision.
func (s *store) at(revision int64) map[string]storeItem {
	items := map[string]storeItem{}
	for _, e := range s.events {
		switch {
		case e.Revision > revision:
			return items
		case e.Compacted:
			delete(items, e.Key)
		default:
			items[e.Key] = e
		}
	}
	return items
}

// revisionAt returns the revision that the store had some time ago.
func (s *store) revisionAt(ago time.Duration) int64 {
	limit := time.Now().Add(-ago)
	r := int64(100)
	for i, e := range s.events {
		if s.times[i].After(limit) {
			break
		}
		r = e.Revision
	}
	return r
}

// gate is the way of one daemon to the store.
type gate struct {
	store   *store
	address string
	// mode is "" when the store serves the daemon, or "busy" or "silent".
	mode atomic.Value
}

func newGate(s *store) *gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	g := &gate{store: s, address: l.Addr().String()}
	g.mode.Store("")
	go func() { _ = http.Serve(l, g) }()
	return g
}

// ServeHTTP serves one call, after the four milliseconds that the store takes.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch g.mode.Load() {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "silent":
		<-r.Context().Done()
		return
	}
	time.Sleep(4 * time.Millisecond)
	g.store.serve(w, r)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	kind, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/carawaytiller/"), "/")
	lease, _ := strconv.ParseInt(id, 10, 64)
	if kind == "kv-watch" {
		s.serveWatch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch kind {
	case "kv-key":
		if it, ok := s.items[r.URL.Query().Get("Key")]; ok {
			reply(w, it)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	case "kv-range":
		s.serveRange(w, r)
	case "kv-txn":
		s.serveTransaction(w, r)
	case "kv-lease":
		var body leaseMillis
		_ = json.NewDecoder(r.Body).Decode(&body)
		lease = int64(len(s.leases)) + s.revision*1000 + 1
		ttl := time.Duration(body.Millis) * time.Millisecond
		s.leases[lease] = storeLease{ttl, time.Now().Add(ttl)}
		reply(w, leaseMillis{lease, body.Millis})
	case "kv-keep":
		l, ok := s.leases[lease]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		l.end = time.Now().Add(l.ttl)
		s.leases[lease] = l
		reply(w, leaseMillis{Millis: l.ttl.Milliseconds()})
	case "kv-lease-end":
		s.endLease(lease)
		reply(w, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	items, revision := s.items, s.revision
	if q.Get("AllowStale") == "1" {
		revision = s.staleRevision(s.revisionAt(3*time.Second), s.revision)
		items = s.at(revision)
	}
	var keys []string
	for key := range items {
		if strings.HasPrefix(key, q.Get("Prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items      []storeItem `json:"items"`
		HasMore    bool
		CurrentRev int64
	}{[]storeItem{}, len(keys) > pageItems, revision}
	for _, key := range keys[:min(len(keys), pageItems)] {
		page.Items = append(page.Items, items[key])
	}
	reply(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expire()
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("Prefix")) {
				events = append(events, e)
			}
		}
		compacted := s.history > 0 && after < s.revisionAt(s.history)
		current, changed := s.revision, s.changed
		s.mu.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		answer := struct {
			Events     []storeItem `json:"events"`
			CurrentRev int64
		}{events, current}
		if len(events) > 0 {
			reply(w, answer)
			return
		}
		select {
		case <-changed:
		case <-time.After(200 * time.Millisecond): // leases may have ended
		case <-timer.C:
			reply(w, answer)
			return
		case <-r.Context().Done():
			return
		}
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
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range body.Expect {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			reply(w, struct{}{})
			return
		}
	}
	for _, write := range body.Writes {
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, write := range body.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range body.Remove {
		s.drop(key)
	}
	reply(w, struct{ Revision int64 }{s.revision})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
