package distributor

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	tiller "github.com/carawaytiller/carawaytiller"
)

// document returns a document with n upstreams. The slots of one of them, chosen by the revision, depend on the revision.
func document(revision int64, seats, n int) *tiller.Document {
	d := &tiller.Document{
		Environment: "trial",
		Revision:    revision,
		Seats:       seats,
		Domains:     []tiller.Domain{{Name: "a", Region: "r"}},
	}
	for i := range n {
		u := tiller.Upstream{Name: fmt.Sprintf("u%05d", i), Address: "127.0.0.1:1", Domain: "a", Slots: 2}
		if int64(i) == revision%int64(n) {
			u.Slots = int(revision) + 2
		}
		d.Upstreams = append(d.Upstreams, u)
	}
	return d
}

// network connects tables by a queue that may lose, reorder and duplicate messages.
type network struct {
	tables []*Table
	queue  []queuedMessage
	random *rand.Rand
	loss   float64
	// maxRevisions is the greatest revision seen at each seat since its last restart.
	maxRevisions []int64
}

type queuedMessage struct {
	from int
	Envelope
}

func newNetwork(n int, seed uint64, loss float64) *network {
	net := &network{random: rand.New(rand.NewPCG(seed, 1)), loss: loss, maxRevisions: make([]int64, n)}
	for seat := range n {
		net.tables = append(net.tables, New(seat, 0))
	}
	return net
}

func (n *network) enqueue(from int, out []Envelope) {
	for _, e := range out {
		if n.random.Float64() < n.loss {
			continue
		}
		n.queue = append(n.queue, queuedMessage{from, e})
		if n.random.Float64() < n.loss {
			n.queue = append(n.queue, queuedMessage{from, e})
		}
	}
}

// deliver delivers one queued message chosen at random, so that messages arrive out of order.
func (n *network) deliver(now tiller.Millis) {
	i := n.random.IntN(len(n.queue))
	m := n.queue[i]
	n.queue = append(n.queue[:i], n.queue[i+1:]...)
	n.enqueue(m.To, n.tables[m.To].Receive(now, m.from, m.Message, n.random.Uint64()))
}

func (n *network) drain(now tiller.Millis) {
	for len(n.queue) > 0 {
		n.deliver(now)
	}
}

func (n *network) tick(now tiller.Millis) {
	for seat, table := range n.tables {
		n.enqueue(seat, table.Tick(now, n.random.Uint64()))
	}
}

// TestRevisionReachesAllWithLoss guards against a daemon that does not reach the newest revision when 30%
// of the messages are lost and others are duplicated or arrive out of order.
func TestRevisionReachesAllWithLoss(t *testing.T) {
	for seed := range uint64(50) {
		net := newNetwork(8, seed, 0.3)
		for _, table := range net.tables {
			table.SetDocument(0, document(1, 8, 20), seed)
		}
		net.enqueue(0, net.tables[0].SetDocument(0, document(2, 8, 20), seed))
		net.enqueue(0, net.tables[0].SetDocument(0, document(3, 8, 20), seed))
		now := tiller.Millis(0)
		for !net.allAtRevision(3) {
			net.drain(now)
			now += CompareMillis
			net.tick(now)
			require.Less(t, now, 20*tiller.Second, "seed %d", seed)
		}
		for _, table := range net.tables {
			require.Equal(t, NewVersion(document(3, 8, 20)).Hash, table.version.Hash)
		}
	}
}

func (n *network) allAtRevision(revision int64) bool {
	for _, table := range n.tables {
		if table.Revision() != revision {
			return false
		}
	}
	return true
}

// TestRevisionNeverReverts guards against a lower revision in force after a higher one, caused by stale or
// restarted peers, a store that returns old documents, or reordered messages.
func TestRevisionNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		net := newNetwork(4, rapid.Uint64().Draw(rt, "seed"), 0.2)
		now := tiller.Millis(0)
		steps := rapid.IntRange(10, 120).Draw(rt, "steps")
		for range steps {
			now += tiller.Millis(net.random.IntN(400))
			seat := net.random.IntN(4)
			switch net.random.IntN(5) {
			case 0:
				revision := int64(1 + net.random.IntN(9))
				net.enqueue(seat, net.tables[seat].SetDocument(now, document(revision, 4, 5), net.random.Uint64()))
			case 1:
				net.tick(now)
			case 2:
				net.tables[seat] = New(seat, now)
				net.maxRevisions[seat] = 0
			default:
				if len(net.queue) > 0 {
					net.deliver(now)
				}
			}
			net.checkRevisions(rt)
		}
	})
}

func (n *network) checkRevisions(t require.TestingT) {
	for seat, table := range n.tables {
		require.GreaterOrEqual(t, table.Revision(), n.maxRevisions[seat])
		n.maxRevisions[seat] = table.Revision()
		if table.Revision() == 0 {
			continue
		}
		want := NewVersion(document(table.Revision(), 4, 5)).Hash
		require.Equal(t, want, table.version.Hash, "mixture of revisions")
	}
}

// TestPatchOnWrongBase guards against a patch that is applied to a document it was not made from.
func TestPatchOnWrongBase(t *testing.T) {
	first := NewVersion(document(1, 8, 5))
	second := NewVersion(document(2, 8, 5))
	other := NewVersion(document(1, 9, 6))
	patch := first.PatchTo(second)
	patch.Header = other.Header
	_, err := first.Apply(patch)
	require.ErrorIs(t, err, ErrPatchHash)
	_, err = second.Apply(first.PatchTo(second))
	require.ErrorIs(t, err, ErrPatchBase)
}

// TestFactsConverge guards against facts that never reach a daemon because their first push was lost.
func TestFactsConverge(t *testing.T) {
	net := newNetwork(8, 7, 0.5)
	for _, table := range net.tables {
		table.SetDocument(0, document(1, 8, 3), 1)
	}
	for seat, table := range net.tables {
		net.enqueue(seat, table.Announce(Fact{Key: fmt.Sprint("seat/", seat), Version: 1, Value: []byte("x")}, uint64(seat)))
	}
	for now := CompareMillis; now < 30*tiller.Second; now += CompareMillis {
		net.drain(now)
		net.tick(now)
	}
	for _, table := range net.tables {
		require.Equal(t, 8, table.facts.count)
		require.Equal(t, net.tables[0].facts.hash, table.facts.hash)
	}
}

// TestControlTraffic bounds the bytes that one daemon sends at the target size:
// 7,400 seats, 5,800 changes of the document and 2,850 seat changes a day.
// The budget for all control traffic is 4 KB/s; half of it is for the leases.
func TestControlTraffic(t *testing.T) {
	const budget = 2000.0
	const day = 86400.0
	for _, seats := range []int{8, 64, 512, 7400} {
		table := New(0, 0)
		table.SetDocument(0, document(1, seats, 4*seats), 1)
		change := bytesOf(t, table.SetDocument(0, document(2, seats, 4*seats), 2))
		fact := bytesOf(t, table.Announce(Fact{Key: "seat/7", Version: 3, Value: make([]byte, 60)}, 3))
		compare := bytesOf(t, table.Tick(CompareMillis, 4))
		perSecond := change*5800/day + fact*2850/day + compare*2
		t.Logf("seats %d: change %.0f B, fact %.0f B, comparison %.0f B, total %.0f B/s", seats, change, fact, compare, perSecond)
		require.Less(t, perSecond, budget)
	}
}

func bytesOf(t *testing.T, out []Envelope) float64 {
	var n int
	for _, e := range out {
		b, err := cbor.Marshal(e.Message)
		require.NoError(t, err)
		n += len(b)
	}
	return float64(n)
}
