package tracker

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

// microsPerMilli converts milliseconds to true time, which the simulation counts in microseconds.
const microsPerMilli = int64(1000)

// event is a function that the simulation runs at a true time. Events at the same time run in the order of seq.
type event struct {
	at  int64
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// node is a daemon with its own clock. Events during a pause are run at its end.
type node struct {
	seat        int
	incarnation int64
	table       *Table
	up          bool
	ppm         int64 // drift of the clock from true time, in parts per million
	offset      int64 // local time at true time 0, in microseconds
	pausedUntil int64 // true time
	tickAt      tiller.Millis
	partition   int // nodes exchange messages only within a partition
	sent, bytes int
}

// localTime returns what the node's clock shows at a true time.
func (n *node) localTime(at int64) tiller.Millis {
	return tiller.Millis((n.offset + at + at/1_000_000*n.ppm + at%1_000_000*n.ppm/1_000_000) / 1000)
}

// trueTime returns the first true time at which the node's clock shows m.
func (n *node) trueTime(m tiller.Millis) int64 {
	at := (int64(m)*1000 - n.offset) * 1_000_000 / (1_000_000 + n.ppm)
	for n.localTime(at) >= m {
		at--
	}
	for n.localTime(at) < m {
		at++
	}
	return at
}

// ownership is a period in which one process owns a unit.
type ownership struct {
	node        *node
	incarnation int64
	end         int64 // true time of the last permitted send
	released    bool  // the owner had no request in flight at the end
}

// simulation runs tables in virtual time over a faulty network and checks the invariants after every event.
// Its times are true times in microseconds unless stated otherwise.
type simulation struct {
	rand         *rand.Rand
	now          int64
	seq          int
	queue        eventQueue
	nodes        []*node
	rules        rules
	epoch        uint64
	units        []Unit
	loss         float64 // probability that a message is lost
	duplication  float64 // probability that a message is sent twice
	minDelay     int64
	maxDelay     int64
	measureBytes bool // count the encoded bytes that each node sends
	ownerships   map[UnitID][]ownership
	ownerStartAt map[UnitID]int64 // StartAt of the current owner, in true time
	violations   []string         // descriptions of violated invariants
}

func newSimulation(seed uint64, seats int, units []Unit) *simulation {
	sim := &simulation{
		rand:         rand.New(rand.NewPCG(seed, 1)),
		rules:        protocolRules(),
		epoch:        1,
		units:        units,
		minDelay:     microsPerMilli / 2,
		maxDelay:     3 * microsPerMilli,
		ownerships:   map[UnitID][]ownership{},
		ownerStartAt: map[UnitID]int64{},
	}
	for seat := range seats {
		sim.nodes = append(sim.nodes, &node{seat: seat, ppm: sim.rand.Int64N(20_001) - 10_000})
	}
	return sim
}

func (sim *simulation) startAll() {
	for _, n := range sim.nodes {
		sim.start(n)
	}
}

// start starts a new process on the node's seat, which uses the newest document.
func (sim *simulation) start(n *node) {
	n.up = true
	n.incarnation++
	n.pausedUntil = 0
	n.offset = sim.rand.Int64N(int64(1e9)) + 10_000*microsPerMilli
	n.table = New(Config{Seat: n.seat, Incarnation: n.incarnation}, n.localTime(sim.now))
	n.table.rules = sim.rules
	n.table.SetUnits(n.localTime(sim.now), sim.epoch, sim.units)
	sim.scheduleTick(n)
}

func (sim *simulation) stop(n *node) {
	n.up = false
}

func (sim *simulation) pause(n *node, millis int64) {
	n.pausedUntil = sim.now + millis*microsPerMilli
}

func (sim *simulation) schedule(at int64, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: at, seq: sim.seq, run: run})
}

// runOn runs a function in the given incarnation of the node's process, after the pause if it is paused.
// It does nothing if that incarnation has stopped by then.
func (sim *simulation) runOn(n *node, incarnation int64, run func(now tiller.Millis) []Envelope) {
	if !n.up || n.incarnation != incarnation {
		return
	}
	if sim.now < n.pausedUntil {
		sim.schedule(n.pausedUntil, func() { sim.runOn(n, incarnation, run) })
		return
	}
	sim.send(n, run(n.localTime(sim.now)))
	sim.checkNode(n)
	sim.scheduleTick(n)
}

// scheduleTick schedules the node's next Tick at its NextWake.
func (sim *simulation) scheduleTick(n *node) {
	wake := n.table.NextWake()
	if wake == n.tickAt || wake == Never {
		return
	}
	n.tickAt = wake
	incarnation := n.incarnation
	sim.schedule(max(sim.now, n.trueTime(wake)), func() {
		sim.runOn(n, incarnation, func(now tiller.Millis) []Envelope {
			if n.table.NextWake() > now {
				return nil
			}
			n.tickAt = 0
			out := n.table.Tick(now, sim.rand.Uint64())
			if wake := n.table.NextWake(); wake <= now {
				sim.reportViolation("seat %d has its next wake at %d, not after its tick at %d", n.seat, wake, now)
				n.tickAt = wake
			}
			return out
		})
	})
}

func (sim *simulation) send(n *node, out []Envelope) {
	for _, e := range out {
		n.sent++
		if sim.measureBytes {
			b, err := cbor.Marshal(e.Message)
			if err != nil {
				panic(err)
			}
			n.bytes += len(b)
		}
		copies := 1
		if sim.rand.Float64() < sim.duplication {
			copies = 2
		}
		for range copies {
			if sim.rand.Float64() >= sim.loss {
				sim.deliver(n, e)
			}
		}
	}
}

func (sim *simulation) deliver(from *node, e Envelope) {
	to := sim.nodes[e.To]
	delay := sim.minDelay + sim.rand.Int64N(sim.maxDelay-sim.minDelay+1)
	if from.partition != to.partition {
		return
	}
	sim.schedule(sim.now+delay, func() {
		sim.runOn(to, to.incarnation, func(now tiller.Millis) []Envelope {
			return to.table.Receive(now, from.seat, e.Message, sim.rand.Uint64())
		})
	})
}

// checkNode checks the invariants for the units of a node after an event, and schedules the release of the
// units that are to be handed back.
func (sim *simulation) checkNode(n *node) {
	for _, u := range n.table.order {
		h := n.table.Holding(n.localTime(sim.now), u.id)
		if !h.Owned {
			continue
		}
		if h.HandBack {
			sim.scheduleRelease(n, u.id)
		}
		sim.checkOwner(n, u.id, h)
	}
}

func (sim *simulation) scheduleRelease(n *node, id UnitID) {
	incarnation := n.incarnation
	sim.schedule(sim.now+50*microsPerMilli, func() {
		sim.runOn(n, incarnation, func(now tiller.Millis) []Envelope {
			if !n.table.Holding(now, id).HandBack {
				return nil
			}
			sim.recordRelease(n, id)
			return n.table.Release(now, id)
		})
	})
}

// recordRelease records that a process releases a unit now with no request in flight,
// neither from its current lease nor from one that expired before.
func (sim *simulation) recordRelease(n *node, id UnitID) {
	for i, o := range sim.ownerships[id] {
		if o.node == n && o.incarnation == n.incarnation {
			sim.ownerships[id][i].end = min(o.end, sim.now)
			sim.ownerships[id][i].released = true
		}
	}
}

func (sim *simulation) checkOwner(n *node, id UnitID, h Holding) {
	end := n.trueTime(h.ValidUntil)
	ownerships := sim.ownerships[id]
	index := -1
	for i, o := range ownerships {
		if o.node == n && o.incarnation == n.incarnation {
			index = i
			continue
		}
		if o.end > sim.now && o.node.up && o.incarnation == o.node.incarnation {
			sim.reportViolation("%v: seats %d and %d both own the unit at %d us", id, o.node.seat, n.seat, sim.now)
		}
	}
	if index >= 0 && ownerships[index].end >= sim.now && !ownerships[index].released {
		ownerships[index].end = max(ownerships[index].end, end)
		return
	}
	sim.checkStart(n, id, h)
	sim.ownerships[id] = append(sim.ownerships[id], ownership{node: n, incarnation: n.incarnation, end: end})
}

// checkStart checks that the requests of earlier owners have ended when the new owner may start to send.
func (sim *simulation) checkStart(n *node, id UnitID, h Holding) {
	startAt := n.trueTime(h.StartAt)
	sim.ownerStartAt[id] = startAt
	kept := sim.ownerships[id][:0]
	for _, o := range sim.ownerships[id] {
		if o.end+10_000*microsPerMilli > sim.now {
			kept = append(kept, o)
		}
		if o.released || (o.node == n && o.incarnation == n.incarnation) {
			continue
		}
		grace := int64(GraceMillis) * microsPerMilli * 1_000_000 / (1_000_000 + o.node.ppm)
		if startAt < o.end+grace {
			sim.reportViolation("%v: seat %d may send from %d us, but requests of seat %d may run until %d us", id, n.seat, startAt, o.node.seat, o.end+grace)
		}
	}
	sim.ownerships[id] = kept
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// run advances the simulation by a true time in milliseconds.
func (sim *simulation) run(millis int64) {
	until := sim.now + millis*microsPerMilli
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = until
}

// owner returns the node that owns a unit now, or nil.
func (sim *simulation) owner(id UnitID) *node {
	for _, n := range sim.nodes {
		if n.up && n.table.Holding(n.localTime(sim.now), id).Owned {
			return n
		}
	}
	return nil
}

// unowned returns the units without an owner.
func (sim *simulation) unowned() []UnitID {
	var out []UnitID
	for _, u := range sim.units {
		if sim.owner(u.ID) == nil {
			out = append(out, u.ID)
		}
	}
	return out
}

// makeUnits returns units with three voters each, distributed over the seats. A different shift gives
// different voter sets.
func makeUnits(units, seats, shift int) []Unit {
	out := make([]Unit, units)
	for i := range out {
		out[i].ID = UnitID{Service: fmt.Sprintf("casework-desk-%02d", i)}
		for v := range min(3, seats) {
			out[i].Voters = append(out[i].Voters, (i+v*(1+shift)+shift)%seats)
		}
	}
	return out
}
