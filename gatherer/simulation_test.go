package gatherer_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// Limits that operators set for small deployments.
const (
	retryRatio         = 0.2
	retrySlack         = 56.0
	budgetWindowMillis = 10000
	coldOverage        = 1.5
	coldSlack          = 5.0
	canaryShare        = 0.1
	canarySlack        = 50.0
	rollbackMillis     = 5000
)

// simulation runs a fleet of daemons and their upstreams in virtual time.
type simulation struct {
	t            *testing.T
	now          tiller.Millis
	events       eventQueue
	lastSequence int
	random       *rand.Rand
	daemons      []*daemon
	upstreams    map[string]*fakeUpstream
	// lastQuery is the number of the latest query or sub-query.
	lastQuery uint64
	outcomes  map[string]*outcome
	arrivals  map[string][]arrival
	// extraReplies are the replies to sub-queries for shards to which a request was already sent.
	extraReplies []gatherer.SubReply
	// sends holds the requests of daemons to upstreams, notices the answers in which those said something of
	// themselves, when they reached a daemon.
	sends, notices []notice
	// cutRegion is a region from and to which nothing passes; empty if there is none.
	cutRegion string
	// wholeReplies is true if sub-queries are answered as a whole.
	wholeReplies bool
	store        rolloutStore
	// rolloutLog holds the decisions of all daemons on rollouts.
	rolloutLog []string
	// digests holds the digests of requests by identifier; crashing holds those that crash upstreams.
	digests  map[string]uint64
	crashing map[string]bool
}

// daemon is a State with its outstanding attempts and sub-queries.
type daemon struct {
	vm, region string
	state      *gatherer.State
	// alarm is that of the daemon's timer. timers is the number of times that the timer was set, firesAt the time for
	// which it is outstanding; 0 if it is not.
	alarm   gatherer.Alarm
	timers  int
	firesAt tiller.Millis
	pending map[uint64]*pendingAttempt
	// replyTo holds, by inbound sub-query, the function that delivers the reply.
	replyTo map[uint64]func(gatherer.SubReply)
	// partTo holds, by inbound sub-query, the function that delivers the first part of the reply.
	partTo map[uint64]func(gatherer.SubReply)
	// clientIDs maps each inbound sub-query to the client's request identifier.
	clientIDs map[uint64]string
	// resetInbound fails the sub-queries received from other daemons, as a lost connection does.
	resetInbound []func()
	crashed      bool
	// frozenUntil is the time until which events to the daemon wait.
	frozenUntil tiller.Millis
	// cutFromStore and cutFromPeers are true while the daemon cannot reach the store or the other daemons.
	cutFromStore, cutFromPeers bool
	// maxExtraDelay is the upper bound of the random extra delay of messages between this daemon and others.
	maxExtraDelay tiller.Millis
}

// pendingAttempt is a request to an upstream, or a sub-query, that has not ended.
type pendingAttempt struct{ cancel, confirm func() }

type arrival struct {
	at       tiller.Millis
	id       string
	upstream string
	ran      bool
}

// outcome is the result of a client's query.
type outcome struct {
	path               string
	startedAt, latency tiller.Millis
	parts              int
	missing            int
	passed             bool
	refusal            *gatherer.Refuse
	stamps             []string
	records            []byte
}

type scheduledEvent struct {
	at       tiller.Millis
	sequence int
	run      func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	interRegionDelayMillis = 20
	shardCount             = 20
	daemonsPerRegion       = 3
)

var regions = []string{"east", "north", "west"}

// newSimulation returns a simulation of three daemons in each of three regions, and of twenty shards with
// one upstream in each of two regions.
func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{
		t: t, now: 1000, random: rand.New(rand.NewPCG(seed, 7)), upstreams: make(map[string]*fakeUpstream),
		outcomes: make(map[string]*outcome), arrivals: make(map[string][]arrival),
		digests: make(map[string]uint64), crashing: make(map[string]bool),
	}
	for i := range daemonsPerRegion * len(regions) {
		d := &daemon{
			vm: fmt.Sprintf("vm-%d", i), region: regions[i%len(regions)],
			pending: make(map[uint64]*pendingAttempt), replyTo: make(map[uint64]func(gatherer.SubReply)),
			partTo: make(map[uint64]func(gatherer.SubReply)), clientIDs: make(map[uint64]string),
		}
		d.state = gatherer.New(daemonSettings(d, seed+uint64(i)))
		sim.daemons = append(sim.daemons, d)
	}
	for i := range shardCount {
		for j := range 2 {
			sim.addUpstream(i, j, j)
		}
	}
	sim.configure(1, sim.gatherRoute())
	var members []cataloger.Member
	for _, d := range sim.daemons {
		members = append(members, d.member())
	}
	sim.broadcast(gatherer.MembersChanged{Members: members})
	return sim
}

func daemonSettings(d *daemon, seed uint64) gatherer.Settings {
	return gatherer.Settings{
		VM: d.vm, Domain: d.region + "-a", Region: d.region, Seed: seed,
		Bounds: cataloger.Bounds{
			RetryRatio: retryRatio, RetrySlack: retrySlack, ColdOverage: coldOverage, ColdSlack: coldSlack,
			CanaryShare: canaryShare, CanarySlack: canarySlack,
		},
	}
}

func (d *daemon) member() cataloger.Member {
	return cataloger.Member{VM: d.vm, Address: d.vm, Domain: d.region + "-a", Region: d.region}
}

// addUpstream adds upstream j of a shard. Its region is offset positions after that of the shard's first
// upstream.
func (sim *simulation) addUpstream(shard, j, offset int) {
	region := regions[(shard+offset)%len(regions)]
	sim.register(&fakeUpstream{Upstream: cataloger.Upstream{
		ID: fmt.Sprintf("u-%d-%d", shard, j), Service: shardName(shard), Address: "address", Domain: region + "-a", Region: region, Slots: 2,
	}, serviceTime: 11, queueLimit: 12})
}

// addThirdUpstreams adds a third upstream to each shard. Its region is offset positions after that of the
// shard's first upstream.
func (sim *simulation) addThirdUpstreams(offset int) {
	for i := range shardCount {
		sim.addUpstream(i, 2, offset)
	}
}

// pauseUpstreams makes each upstream pause for 250 ms per interval, at a random phase.
func (sim *simulation) pauseUpstreams(interval tiller.Millis) {
	for _, s := range sim.sortedUpstreams() {
		s.pauseInterval, s.pauseLength, s.pausePhase = interval, 250, tiller.Millis(sim.random.IntN(int(interval)))
	}
}

func shardName(i int) string { return fmt.Sprintf("shard-%d", i) }

func (sim *simulation) gatherRoute() cataloger.Route {
	r := cataloger.Route{
		Name: "sweep", Host: "h", Prefix: "/q/", Repeatable: true, Timeout: 1000, Target: 200, Attempts: 2,
		TopK: 5, MinCoverage: 0.89,
	}
	for i := range shardCount {
		r.Shards = append(r.Shards, shardName(i))
	}
	return r
}

func (sim *simulation) configure(version int64, routes ...cataloger.Route) {
	services := make([]cataloger.Service, 0, shardCount)
	for i := range shardCount {
		services = append(services, cataloger.Service{Name: shardName(i), MaxConnections: 26})
	}
	sim.broadcast(gatherer.ConfigurationChanged{Configuration: cataloger.New(version, cataloger.Limits{}, routes, services)})
}

func (sim *simulation) register(s *fakeUpstream) {
	sim.upstreams[s.ID] = s
	sim.broadcast(gatherer.UpstreamChanged{Upstream: s.Upstream})
}

// sortedUpstreams returns the upstreams ordered by identifier, so that a seed gives the same simulation in
// every run.
func (sim *simulation) sortedUpstreams() []*fakeUpstream {
	upstreams := make([]*fakeUpstream, 0, len(sim.upstreams))
	for _, id := range slices.Sorted(maps.Keys(sim.upstreams)) {
		upstreams = append(upstreams, sim.upstreams[id])
	}
	return upstreams
}

// broadcast delivers an event to every daemon.
func (sim *simulation) broadcast(e gatherer.Event) {
	for _, d := range sim.daemons {
		sim.step(d, e)
	}
}

func (sim *simulation) schedule(delay tiller.Millis, run func()) {
	sim.lastSequence++
	heap.Push(&sim.events, scheduledEvent{at: sim.now + delay, sequence: sim.lastSequence, run: run})
}

// runUntil executes the events scheduled up to a time, and advances the clock to it.
func (sim *simulation) runUntil(until tiller.Millis) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		next := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = next.at
		next.run()
	}
	sim.now = until
}

func (sim *simulation) step(d *daemon, e gatherer.Event) {
	if d.crashed {
		return
	}
	if sim.now < d.frozenUntil {
		sim.schedule(d.frozenUntil-sim.now, func() { sim.step(d, e) })
		return
	}
	for _, effect := range d.state.Step(sim.now, e) {
		sim.execute(d, effect)
	}
	if _, fired := e.(gatherer.TimerFired); fired {
		d.alarm, d.firesAt = d.alarm.WithFired(), 0
	}
	sim.setTimer(d)
	require.Empty(sim.t, d.state.UnscheduledWork(sim.now), "after %T at daemon %s", e, d.vm)
}

// setTimer sets the timer of a daemon as the executor does.
func (sim *simulation) setTimer(d *daemon) {
	at, ok := d.state.NextTimer()
	if !ok {
		return
	}
	var set bool
	if d.alarm, set = d.alarm.WithDue(at); set {
		d.timers++
		d.firesAt = max(at, sim.now)
		timer := d.timers
		sim.schedule(d.firesAt-sim.now, func() {
			if timer == d.timers {
				sim.step(d, gatherer.TimerFired{})
			}
		})
	}
	require.True(sim.t, d.firesAt > 0 && d.firesAt <= max(at, sim.now), "work of daemon %s is due at %d, its timer at %d", d.vm, at, d.firesAt)
}

// isCut reports whether nothing passes between two regions.
func (sim *simulation) isCut(from, to string) bool {
	return from != to && (from == sim.cutRegion || to == sim.cutRegion)
}

func networkDelay(from, to string) tiller.Millis {
	if from == to {
		return 1
	}
	return interRegionDelayMillis
}

func (sim *simulation) execute(d *daemon, e gatherer.Effect) {
	switch e := e.(type) {
	case gatherer.Send:
		sim.sendToUpstream(d, e)
	case gatherer.SendSubQuery:
		sim.sendSubQuery(d, e)
	case gatherer.ConfirmSubQuery:
		if s := d.pending[e.Attempt]; s != nil {
			s.confirm()
		}
	case gatherer.Cancel:
		if s := d.pending[e.Attempt]; s != nil {
			sim.schedule(e.After, s.cancel)
		}
	case gatherer.Probe:
		sim.schedule(e.After+interRegionDelayMillis, func() {
			reached := false
			for _, other := range sim.daemons {
				reached = reached || other.vm == e.Member.VM && !other.crashed && !sim.isCut(d.region, other.region)
			}
			sim.step(d, gatherer.PeerProbed{Member: e.Member, Reached: reached})
		})
	case gatherer.SendReport:
		sim.sendReport(d, e)
	case gatherer.ProbeUpstream:
		sim.probeUpstream(d, e)
	case gatherer.RolloutChanged:
		sim.rolloutLog = append(sim.rolloutLog, fmt.Sprintf("%d %s %s by %s %+v %+v", sim.now, d.vm, e.State, e.Cause, e.Evidence, e.Fault))
	case gatherer.PublishRollout:
		sim.publishRollout(d, e)
	case gatherer.ReplyGathered:
		sim.recordOutcome(e.ID, func(o *outcome) {
			o.parts, o.missing, o.stamps, o.records = len(e.Stamps), e.Missing, e.Stamps, e.Records
		})
	case gatherer.ReplyPassthrough:
		sim.recordOutcome(e.ID, func(o *outcome) { o.passed = true })
	case gatherer.Refuse:
		sim.recordOutcome(e.ID, func(o *outcome) { o.refusal = &e })
	case gatherer.ReplyPart:
		d.partTo[e.Query](e.Reply)
	case gatherer.ReplySub:
		if reply := d.replyTo[e.Query]; reply != nil {
			delete(d.replyTo, e.Query)
			reply(e.Reply)
		}
	}
}

func (sim *simulation) recordOutcome(id string, set func(*outcome)) {
	if o := sim.outcomes[id]; o != nil && o.latency == 0 {
		o.latency = max(sim.now-o.startedAt, 1)
		set(o)
	}
}

// crash stops a daemon and resets the connections of its inbound sub-queries.
func (sim *simulation) crash(d *daemon) {
	d.crashed = true
	for _, reset := range d.resetInbound {
		sim.schedule(interRegionDelayMillis, reset)
	}
}

// sendQuery sends a client's request to a daemon and returns its identifier.
func (sim *simulation) sendQuery(d *daemon, path string) string {
	sim.lastQuery++
	id := fmt.Sprintf("q-%d", sim.lastQuery)
	sim.outcomes[id] = &outcome{path: path, startedAt: sim.now}
	sim.step(d, gatherer.QueryArrived{Query: sim.lastQuery, ID: id, Digest: sim.digests[id], Host: "h", Path: path, Deadline: 1000})
	return id
}

// scheduleLoad schedules perSecond queries a second to random daemons until a time.
func (sim *simulation) scheduleLoad(until tiller.Millis, perSecond int, path string) {
	for at := sim.now; at < until; at += tiller.Millis(1000 / perSecond) {
		sim.schedule(at-sim.now, func() { sim.sendQuery(sim.daemons[sim.random.IntN(len(sim.daemons))], path) })
	}
}

func (sim *simulation) sendToUpstream(d *daemon, e gatherer.Send) {
	s := sim.upstreams[e.Upstream.ID]
	id := sim.clientID(d, e.Query)
	finish, ended := sim.endOnce(d, e.Attempt)
	end := func(event gatherer.AttemptEnded) {
		event.Attempt = e.Attempt
		if !ended() && (event.Answer.Leaving || event.Answer.Pause > 0) {
			sim.notices = append(sim.notices, notice{sim.now, d.vm, s.ID})
		}
		finish(event)
	}
	failed := func(reason tiller.Reason) gatherer.AttemptEnded {
		return gatherer.AttemptEnded{Failure: tiller.NewFailure(tiller.MayHaveRun, reason, nil)}
	}
	cancel := func() {}
	abandon := func(reason tiller.Reason) {
		if !ended() {
			sim.schedule(networkDelay(d.region, s.Region), func() { cancel() })
		}
		end(failed(reason))
	}
	sim.sends = append(sim.sends, notice{sim.now, d.vm, s.ID})
	d.pending[e.Attempt] = &pendingAttempt{cancel: func() { abandon(tiller.ReasonCancelled) }}
	sim.schedule(e.Timeout, func() { abandon(tiller.ReasonTimeout) })
	if sim.isCut(d.region, s.Region) {
		return
	}
	sim.schedule(networkDelay(d.region, s.Region), func() {
		if sim.now < s.downUntil {
			refused := gatherer.AttemptEnded{Failure: tiller.NewFailure(tiller.NotRun, tiller.ReasonConnectFailed, nil)}
			sim.schedule(networkDelay(d.region, s.Region), func() { end(refused) })
			return
		}
		cancel = sim.serve(s, id, func(event gatherer.AttemptEnded) {
			sim.schedule(networkDelay(d.region, s.Region), func() { end(event) })
		})
	})
}

// notice is a request to an upstream, or an answer in which it said something of itself.
type notice struct {
	at           tiller.Millis
	vm, upstream string
}

// endOnce returns a function that ends an attempt of a daemon with an event and ignores all calls but the
// first, and a function that reports whether the attempt has ended.
func (sim *simulation) endOnce(d *daemon, attempt uint64) (end func(gatherer.Event), ended func() bool) {
	done := false
	return func(event gatherer.Event) {
		if done {
			return
		}
		done = true
		delete(d.pending, attempt)
		sim.step(d, event)
	}, func() bool { return done }
}

// clientID returns the client's request identifier for a query or sub-query of a daemon.
func (sim *simulation) clientID(d *daemon, query uint64) string {
	if id, ok := d.clientIDs[query]; ok {
		return id
	}
	return fmt.Sprintf("q-%d", query)
}

func (sim *simulation) sendSubQuery(d *daemon, e gatherer.SendSubQuery) {
	var peer *daemon
	for _, other := range sim.daemons {
		if other.vm == e.Member.VM {
			peer = other
		}
	}
	finish, ended := sim.endOnce(d, e.Attempt)
	end := func(event gatherer.SubQueryEnded) {
		event.Attempt = e.Attempt
		for _, l := range event.Reply.Leaving {
			if ended() {
				break
			}
			sim.notices = append(sim.notices, notice{sim.now, d.vm, l.ID})
		}
		finish(event)
	}
	id := sim.clientID(d, e.Query)
	sim.lastQuery++
	query := sim.lastQuery
	delay := func() tiller.Millis {
		return networkDelay(d.region, peer.region) + tiller.Millis(sim.random.Int64N(int64(max(d.maxExtraDelay, peer.maxExtraDelay)+1)))
	}
	d.pending[e.Attempt] = &pendingAttempt{cancel: func() {
		end(gatherer.SubQueryEnded{Failure: tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonCancelled, nil)})
		sim.schedule(delay(), func() { sim.step(peer, gatherer.QueryAbandoned{Query: query}) })
	}, confirm: func() {
		sim.schedule(delay(), func() { sim.step(peer, gatherer.SubQueryConfirmed{Query: query}) })
	}}
	sim.schedule(e.Timeout, func() {
		end(gatherer.SubQueryEnded{Failure: tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonTimeout, nil)})
	})
	if sim.isCut(d.region, peer.region) {
		return
	}
	// partAt is the time at which the first part of the reply arrives; the rest does not overtake it.
	var partAt tiller.Millis
	sim.schedule(delay(), func() {
		peer.clientIDs[query] = id
		peer.resetInbound = append(peer.resetInbound, func() {
			end(gatherer.SubQueryEnded{Failure: tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonConnectionLost, nil)})
		})
		peer.replyTo[query] = func(r gatherer.SubReply) {
			if e.Extra {
				sim.extraReplies = append(sim.extraReplies, r)
			}
			sim.schedule(max(delay(), partAt-sim.now), func() { end(gatherer.SubQueryEnded{Reply: r}) })
		}
		peer.partTo[query] = func(r gatherer.SubReply) {
			wait := networkDelay(d.region, peer.region) + max(d.maxExtraDelay, peer.maxExtraDelay)/2
			partAt = sim.now + wait
			sim.schedule(wait, func() { sim.step(d, gatherer.SubQueryPart{Attempt: e.Attempt, Reply: r}) })
		}
		if !peer.crashed {
			sim.schedule(delay(), func() { sim.step(d, gatherer.SubQueryAccepted{Attempt: e.Attempt}) })
		}
		sim.step(peer, gatherer.SubQueryArrived{Query: query, ID: "sub of " + id, Digest: sim.digests[id], InParts: !sim.wholeReplies, SubQuery: e.SubQuery})
	})
}
