package gatherer_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// Bounds of the small deployments, as the operators state them.
const (
	retryRatio  = 0.2
	retrySlack  = 56.0
	budgetMs    = 10000
	coldOverage = 1.5
	coldSlack   = 5.0
)

// world plays a fleet of daemons and its upstreams in virtual time.
type world struct {
	t        *testing.T
	now      tiller.Millis
	events   schedule
	order    int
	random   *rand.Rand
	daemons  []*daemon
	servers  map[string]*server
	queries  uint64
	outcomes map[string]*outcome
	arrivals map[string][]arrival
	// further are the replies to sub-queries for shards that were asked before.
	further []gatherer.SubReply
}

// daemon is one State with what it has outstanding.
type daemon struct {
	vm, region string
	state      *gatherer.State
	sent       map[uint64]*sent
	asker      map[uint64]func(gatherer.SubReply)
	// subs holds the client's identifier of each sub-query.
	subs map[uint64]string
	// reset ends the sub-queries that other daemons have sent here.
	reset []func()
	dead  bool
	// lag is the longest time by which messages between this daemon and others are late.
	lag tiller.Millis
}

// sent is an attempt on its way.
type sent struct{ abandon, confirm func() }

type arrival struct {
	at       tiller.Millis
	id       string
	upstream string
	ran      bool
}

// outcome is what a client got.
type outcome struct {
	path          string
	started, took tiller.Millis
	parts         int
	missing       int
	passed        bool
	refused       *gatherer.Refuse
	stamps        []string
	records       []byte
}

type scheduled struct {
	at    tiller.Millis
	order int
	run   func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

const (
	regionWay = 20
	shards    = 20
	perRegion = 3
)

var regions = []string{"east", "north", "west"}

// newWorld returns a fleet of three daemons in each of three regions, and twenty shards that each
// have an upstream in two of the regions.
func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, now: 1000, random: rand.New(rand.NewPCG(seed, 7)), servers: make(map[string]*server),
		outcomes: make(map[string]*outcome), arrivals: make(map[string][]arrival),
	}
	for i := range perRegion * len(regions) {
		d := &daemon{
			vm: fmt.Sprintf("vm-%d", i), region: regions[i%len(regions)],
			sent: make(map[uint64]*sent), asker: make(map[uint64]func(gatherer.SubReply)),
			subs: make(map[uint64]string),
		}
		d.state = gatherer.New(gatherer.Settings{
			VM: d.vm, Region: d.region, Seed: seed + uint64(i),
			Bounds: cataloger.Bounds{RetryRatio: retryRatio, RetrySlack: retrySlack, ColdOverage: coldOverage, ColdSlack: coldSlack},
		})
		w.daemons = append(w.daemons, d)
	}
	for i := range shards {
		for j := range 2 {
			w.addUpstream(i, j, j)
		}
	}
	w.configure(1, w.gatherRoute())
	var members []cataloger.Member
	for _, d := range w.daemons {
		members = append(members, d.member())
	}
	w.tell(gatherer.MembersChanged{Members: members})
	return w
}

func (d *daemon) member() cataloger.Member {
	return cataloger.Member{VM: d.vm, Address: d.vm, Region: d.region}
}

// addUpstream adds the jth upstream of a shard, in the region that is offset after the shard's first one.
func (w *world) addUpstream(shard, j, offset int) {
	region := regions[(shard+offset)%len(regions)]
	w.add(&server{Upstream: cataloger.Upstream{
		ID: fmt.Sprintf("u-%d-%d", shard, j), Service: shardName(shard), Address: "address", Domain: region + "-a", Region: region, Slots: 2,
	}, work: 11, queue: 12})
}

// addThirds gives each shard a third upstream, in the region that is offset after that of its first one.
func (w *world) addThirds(offset int) {
	for i := range shards {
		w.addUpstream(i, 2, offset)
	}
}

// pause lets each upstream pause for a quarter of a second at a time, at its own times.
func (w *world) pause(every tiller.Millis) {
	for _, s := range w.sorted() {
		s.pauseEvery, s.pause, s.pausePhase = every, 250, tiller.Millis(w.random.IntN(int(every)))
	}
}

func shardName(i int) string { return fmt.Sprintf("shard-%d", i) }

func (w *world) gatherRoute() cataloger.Route {
	r := cataloger.Route{
		Name: "sweep", Host: "h", Prefix: "/q/", Repeatable: true, Timeout: 1000, Target: 200, Attempts: 2,
		TopK: 5, MinCoverage: 0.89,
	}
	for i := range shards {
		r.Shards = append(r.Shards, shardName(i))
	}
	return r
}

func (w *world) configure(version int64, routes ...cataloger.Route) {
	services := make([]cataloger.Service, 0, shards)
	for i := range shards {
		services = append(services, cataloger.Service{Name: shardName(i), MaxConnections: 26})
	}
	w.tell(gatherer.ConfigurationChanged{Configuration: cataloger.New(version, cataloger.Limits{}, routes, services)})
}

func (w *world) add(s *server) {
	w.servers[s.ID] = s
	w.tell(gatherer.UpstreamChanged{Upstream: s.Upstream})
}

// sorted returns the upstreams in the order of their identifiers, so that a seed gives the same world
// in every run.
func (w *world) sorted() []*server {
	servers := make([]*server, 0, len(w.servers))
	for _, id := range slices.Sorted(maps.Keys(w.servers)) {
		servers = append(servers, w.servers[id])
	}
	return servers
}

// tell feeds an event to every daemon.
func (w *world) tell(e gatherer.Event) {
	for _, d := range w.daemons {
		w.step(d, e)
	}
}

func (w *world) after(delay tiller.Millis, run func()) {
	w.order++
	heap.Push(&w.events, scheduled{at: w.now + delay, order: w.order, run: run})
}

// run plays until a time.
func (w *world) run(until tiller.Millis) {
	for len(w.events) > 0 && w.events[0].at <= until {
		next := heap.Pop(&w.events).(scheduled)
		w.now = next.at
		next.run()
	}
	w.now = until
}

func (w *world) step(d *daemon, e gatherer.Event) {
	if d.dead {
		return
	}
	for _, effect := range d.state.Step(w.now, e) {
		w.execute(d, effect)
	}
	if at, ok := d.state.NextTimer(); ok {
		w.after(max(at-w.now, 0), func() {
			if next, ok := d.state.NextTimer(); ok && next <= w.now {
				w.step(d, gatherer.TimerFired{})
			}
		})
	}
}

func way(from, to string) tiller.Millis {
	if from == to {
		return 1
	}
	return regionWay
}

func (w *world) execute(d *daemon, e gatherer.Effect) {
	switch e := e.(type) {
	case gatherer.Send:
		w.send(d, e)
	case gatherer.SendSubQuery:
		w.ask(d, e)
	case gatherer.ConfirmSubQuery:
		if s := d.sent[e.Attempt]; s != nil {
			s.confirm()
		}
	case gatherer.Cancel:
		if s := d.sent[e.Attempt]; s != nil {
			w.after(e.After, s.abandon)
		}
	case gatherer.Probe:
		w.after(e.After+regionWay, func() {
			reached := false
			for _, other := range w.daemons {
				reached = reached || other.vm == e.Member.VM && !other.dead
			}
			w.step(d, gatherer.PeerProbed{Member: e.Member, Reached: reached})
		})
	case gatherer.ReplyGathered:
		w.finish(e.ID, func(o *outcome) {
			o.parts, o.missing, o.stamps, o.records = len(e.Stamps), e.Missing, e.Stamps, e.Records
		})
	case gatherer.ReplyPassthrough:
		w.finish(e.ID, func(o *outcome) { o.passed = true })
	case gatherer.Refuse:
		w.finish(e.ID, func(o *outcome) { o.refused = &e })
	case gatherer.ReplySub:
		if reply := d.asker[e.Query]; reply != nil {
			delete(d.asker, e.Query)
			reply(e.Reply)
		}
	}
}

func (w *world) finish(id string, set func(*outcome)) {
	if o := w.outcomes[id]; o != nil && o.took == 0 {
		o.took = max(w.now-o.started, 1)
		set(o)
	}
}

// kill ends a daemon; its connections are reset.
func (w *world) kill(d *daemon) {
	d.dead = true
	for _, reset := range d.reset {
		w.after(regionWay, reset)
	}
}

// query sends a client's request to a daemon and returns its identifier.
func (w *world) query(d *daemon, path string) string {
	w.queries++
	id := fmt.Sprintf("q-%d", w.queries)
	w.outcomes[id] = &outcome{path: path, started: w.now}
	w.step(d, gatherer.QueryArrived{Query: w.queries, ID: id, Host: "h", Path: path, Deadline: 1000})
	return id
}

// load sends perSecond requests to random daemons until a time.
func (w *world) load(until tiller.Millis, perSecond int, path string) {
	for at := w.now; at < until; at += tiller.Millis(1000 / perSecond) {
		w.after(at-w.now, func() { w.query(w.daemons[w.random.IntN(len(w.daemons))], path) })
	}
}

func (w *world) send(d *daemon, e gatherer.Send) {
	s := w.servers[e.Upstream.ID]
	id := w.clientID(d, e.Query)
	finish, ended := w.once(d, e.Attempt)
	end := func(event gatherer.AttemptEnded) {
		event.Attempt = e.Attempt
		finish(event)
	}
	lost := func(reason tiller.Reason) gatherer.AttemptEnded {
		return gatherer.AttemptEnded{Failure: tiller.NewFailure(tiller.MayHaveRun, reason, nil)}
	}
	cancel := func() {}
	leave := func(reason tiller.Reason) {
		if !ended() {
			w.after(way(d.region, s.Region), func() { cancel() })
		}
		end(lost(reason))
	}
	d.sent[e.Attempt] = &sent{abandon: func() { leave(tiller.ReasonCancelled) }}
	w.after(e.Timeout, func() { leave(tiller.ReasonTimeout) })
	w.after(way(d.region, s.Region), func() {
		cancel = w.serve(s, id, func(event gatherer.AttemptEnded) {
			w.after(way(d.region, s.Region), func() { end(event) })
		})
	})
}

// once returns a function that ends an attempt of a daemon with an event, the first time it is called, and
// one that says whether it was.
func (w *world) once(d *daemon, attempt uint64) (end func(gatherer.Event), ended func() bool) {
	done := false
	return func(event gatherer.Event) {
		if done {
			return
		}
		done = true
		delete(d.sent, attempt)
		w.step(d, event)
	}, func() bool { return done }
}

// clientID returns the client's identifier of a query of a daemon.
func (w *world) clientID(d *daemon, query uint64) string {
	if id, ok := d.subs[query]; ok {
		return id
	}
	return fmt.Sprintf("q-%d", query)
}

func (w *world) ask(d *daemon, e gatherer.SendSubQuery) {
	var peer *daemon
	for _, other := range w.daemons {
		if other.vm == e.Member.VM {
			peer = other
		}
	}
	finish, _ := w.once(d, e.Attempt)
	end := func(event gatherer.SubQueryEnded) {
		event.Attempt = e.Attempt
		finish(event)
	}
	id := w.clientID(d, e.Query)
	w.queries++
	query := w.queries
	way := func() tiller.Millis {
		return way(d.region, peer.region) + tiller.Millis(w.random.Int64N(int64(max(d.lag, peer.lag)+1)))
	}
	d.sent[e.Attempt] = &sent{abandon: func() {
		end(gatherer.SubQueryEnded{Failure: tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonCancelled, nil)})
		w.after(way(), func() { w.step(peer, gatherer.QueryAbandoned{Query: query}) })
	}, confirm: func() {
		w.after(way(), func() { w.step(peer, gatherer.SubQueryConfirmed{Query: query}) })
	}}
	w.after(e.Timeout, func() {
		end(gatherer.SubQueryEnded{Failure: tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonTimeout, nil)})
	})
	w.after(way(), func() {
		peer.subs[query] = id
		peer.reset = append(peer.reset, func() {
			end(gatherer.SubQueryEnded{Failure: tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonConnectionLost, nil)})
		})
		peer.asker[query] = func(r gatherer.SubReply) {
			if e.Extra {
				w.further = append(w.further, r)
			}
			w.after(way(), func() { end(gatherer.SubQueryEnded{Reply: r}) })
		}
		if !peer.dead {
			w.after(way(), func() { w.step(d, gatherer.SubQueryAccepted{Attempt: e.Attempt}) })
		}
		w.step(peer, gatherer.SubQueryArrived{Query: query, ID: "sub of " + id, SubQuery: e.SubQuery})
	})
}
