package tracker

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

const trueMillis = int64(1000) // true time is counted in microseconds

// event is something that happens in the world at a true time.
type event struct {
	at  int64
	seq int
	do  func()
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

// node is a daemon with its own clock. Work that falls into a pause is done at its end.
type node struct {
	seat        int
	incarnation int64
	table       *Table
	up          bool
	ppm         int64 // deviation of the clock's rate from true time, in 1,000,000
	offset      int64 // microseconds
	pausedUntil int64
	wake        tiller.Millis
	side        int // side of a partition
	sent, bytes int
}

func (n *node) local(at int64) tiller.Millis {
	return tiller.Millis((n.offset + at + at/1_000_000*n.ppm + at%1_000_000*n.ppm/1_000_000) / 1000)
}

// trueTime returns the first true time at which the node's clock shows m.
func (n *node) trueTime(m tiller.Millis) int64 {
	at := (int64(m)*1000 - n.offset) * 1_000_000 / (1_000_000 + n.ppm)
	for n.local(at) >= m {
		at--
	}
	for n.local(at) < m {
		at++
	}
	return at
}

// period is one ownership of a unit.
type period struct {
	node        *node
	incarnation int64
	end         int64 // true time of the last permitted send
	released    bool  // the owner had no request in flight at the end
}

// world runs tables in virtual time over a faulty network and checks the invariants after every event.
type world struct {
	rand     *rand.Rand
	now      int64
	seq      int
	queue    eventQueue
	nodes    []*node
	rules    rules
	epoch    uint64
	units    []Unit
	loss     float64
	twice    float64
	minDelay int64
	maxDelay int64
	measure  bool
	periods  map[UnitID][]period
	begins   map[UnitID]int64 // true StartAt of the present owner
	faults   []string         // violations of the invariants
}

func newWorld(seed uint64, seats int, units []Unit) *world {
	w := &world{
		rand:     rand.New(rand.NewPCG(seed, 1)),
		rules:    protocolRules(),
		epoch:    1,
		units:    units,
		minDelay: trueMillis / 2,
		maxDelay: 3 * trueMillis,
		periods:  map[UnitID][]period{},
		begins:   map[UnitID]int64{},
	}
	for seat := range seats {
		w.nodes = append(w.nodes, &node{seat: seat, ppm: w.rand.Int64N(20_001) - 10_000})
	}
	return w
}

func (w *world) startAll() {
	for _, n := range w.nodes {
		w.start(n)
	}
}

// start runs a new process on the node's seat, which goes by the newest document.
func (w *world) start(n *node) {
	n.up = true
	n.incarnation++
	n.pausedUntil = 0
	n.offset = w.rand.Int64N(int64(1e9)) + 10_000*trueMillis
	n.table = New(Config{Seat: n.seat, Incarnation: n.incarnation}, n.local(w.now))
	n.table.rules = w.rules
	n.table.SetUnits(n.local(w.now), w.epoch, w.units)
	w.arm(n)
}

func (w *world) stop(n *node) {
	n.up = false
}

func (w *world) pause(n *node, millis int64) {
	n.pausedUntil = w.now + millis*trueMillis
}

func (w *world) at(at int64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: at, seq: w.seq, do: do})
}

// on does something in the process that runs on the node now, after its pause, if it still runs then.
func (w *world) on(n *node, incarnation int64, do func(now tiller.Millis) []Envelope) {
	if !n.up || n.incarnation != incarnation {
		return
	}
	if w.now < n.pausedUntil {
		w.at(n.pausedUntil, func() { w.on(n, incarnation, do) })
		return
	}
	w.send(n, do(n.local(w.now)))
	w.observe(n)
	w.arm(n)
}

// arm makes the node tick at its next wake.
func (w *world) arm(n *node) {
	wake := n.table.NextWake()
	if wake == n.wake || wake == Never {
		return
	}
	n.wake = wake
	incarnation := n.incarnation
	w.at(max(w.now, n.trueTime(wake)), func() {
		w.on(n, incarnation, func(now tiller.Millis) []Envelope {
			if n.table.NextWake() > now {
				return nil
			}
			n.wake = 0
			out := n.table.Tick(now, w.rand.Uint64())
			if wake := n.table.NextWake(); wake <= now {
				w.fault("seat %d wakes at %d again after a tick at %d", n.seat, wake, now)
				n.wake = wake
			}
			return out
		})
	})
}

func (w *world) send(n *node, out []Envelope) {
	for _, e := range out {
		n.sent++
		if w.measure {
			b, err := cbor.Marshal(e.Message)
			if err != nil {
				panic(err)
			}
			n.bytes += len(b)
		}
		copies := 1
		if w.rand.Float64() < w.twice {
			copies = 2
		}
		for range copies {
			if w.rand.Float64() >= w.loss {
				w.deliver(n, e)
			}
		}
	}
}

func (w *world) deliver(from *node, e Envelope) {
	to := w.nodes[e.To]
	delay := w.minDelay + w.rand.Int64N(w.maxDelay-w.minDelay+1)
	if from.side != to.side {
		return
	}
	w.at(w.now+delay, func() {
		w.on(to, to.incarnation, func(now tiller.Millis) []Envelope {
			return to.table.Receive(now, from.seat, e.Message, w.rand.Uint64())
		})
	})
}

// observe checks the invariants for the units of a node that has just acted.
func (w *world) observe(n *node) {
	for _, u := range n.table.order {
		h := n.table.Holding(n.local(w.now), u.id)
		if !h.Owned {
			continue
		}
		if h.HandBack {
			w.releaseLater(n, u.id)
		}
		w.observeOwner(n, u.id, h)
	}
}

func (w *world) releaseLater(n *node, id UnitID) {
	incarnation := n.incarnation
	w.at(w.now+50*trueMillis, func() {
		w.on(n, incarnation, func(now tiller.Millis) []Envelope {
			if !n.table.Holding(now, id).HandBack {
				return nil
			}
			w.noteReleased(n, id)
			return n.table.Release(now, id)
		})
	})
}

// noteReleased notes that a process gives a unit up now with no request in flight,
// neither of its present lease nor of one that ran out before.
func (w *world) noteReleased(n *node, id UnitID) {
	for i, p := range w.periods[id] {
		if p.node == n && p.incarnation == n.incarnation {
			w.periods[id][i].end = min(p.end, w.now)
			w.periods[id][i].released = true
		}
	}
}

func (w *world) observeOwner(n *node, id UnitID, h Holding) {
	end := n.trueTime(h.ValidUntil)
	periods := w.periods[id]
	mine := -1
	for i, p := range periods {
		if p.node == n && p.incarnation == n.incarnation {
			mine = i
			continue
		}
		if p.end > w.now && p.node.up && p.incarnation == p.node.incarnation {
			w.fault("%v: seats %d and %d own it at %d us", id, p.node.seat, n.seat, w.now)
		}
	}
	if mine >= 0 && periods[mine].end >= w.now && !periods[mine].released {
		periods[mine].end = max(periods[mine].end, end)
		return
	}
	w.begin(n, id, h)
	w.periods[id] = append(w.periods[id], period{node: n, incarnation: n.incarnation, end: end})
}

// begin checks that the requests of earlier owners have ended when the owner starts.
func (w *world) begin(n *node, id UnitID, h Holding) {
	startAt := n.trueTime(h.StartAt)
	w.begins[id] = startAt
	kept := w.periods[id][:0]
	for _, p := range w.periods[id] {
		if p.end+10_000*trueMillis > w.now {
			kept = append(kept, p)
		}
		if p.released || (p.node == n && p.incarnation == n.incarnation) {
			continue
		}
		grace := int64(GraceMillis) * trueMillis * 1_000_000 / (1_000_000 + p.node.ppm)
		if startAt < p.end+grace {
			w.fault("%v: seat %d starts at %d us, requests of seat %d end at %d us", id, n.seat, startAt, p.node.seat, p.end+grace)
		}
	}
	w.periods[id] = kept
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// run lets the world go on for a true time in milliseconds.
func (w *world) run(millis int64) {
	until := w.now + millis*trueMillis
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// owner returns the node that owns a unit now, or nil.
func (w *world) owner(id UnitID) *node {
	for _, n := range w.nodes {
		if n.up && n.table.Holding(n.local(w.now), id).Owned {
			return n
		}
	}
	return nil
}

// unowned returns the units without an owner.
func (w *world) unowned() []UnitID {
	var out []UnitID
	for _, u := range w.units {
		if w.owner(u.ID) == nil {
			out = append(out, u.ID)
		}
	}
	return out
}

// spread returns units whose three voters are spread over the seats.
func spread(units, seats, shift int) []Unit {
	out := make([]Unit, units)
	for i := range out {
		out[i].ID = UnitID{Service: fmt.Sprintf("casework-desk-%02d", i)}
		for v := range min(3, seats) {
			out[i].Voters = append(out[i].Voters, (i+v*(1+shift)+shift)%seats)
		}
	}
	return out
}
