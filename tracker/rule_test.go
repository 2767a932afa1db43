package tracker

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	tiller "github.com/carawaytiller/carawaytiller"
)

// TestRapidFaults checks the invariants of TestRandomFaults with faults that rapid generates and shrinks.
func TestRapidFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seats := rapid.IntRange(3, 5).Draw(t, "seats")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), seats, makeUnits(2, seats, 0))
		sim.startAll()
		sim.run(startupMillis)
		anyNode := func(t *rapid.T) *node { return sim.nodes[rapid.IntRange(0, seats-1).Draw(t, "seat")] }
		t.Repeat(map[string]func(*rapid.T){
			"Pause":     func(t *rapid.T) { sim.pause(anyNode(t), rapid.Int64Range(0, 2900).Draw(t, "millis")) },
			"Stop":      func(t *rapid.T) { sim.stop(anyNode(t)) },
			"Leave":     func(t *rapid.T) { sim.stopGracefully(anyNode(t)) },
			"Partition": func(t *rapid.T) { anyNode(t).partition = rapid.IntRange(0, 1).Draw(t, "side") },
			"Epoch":     func(*rapid.T) { sim.changeEpoch() },
			"Network": func(t *rapid.T) {
				sim.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
				sim.duplication = rapid.Float64Range(0, 0.5).Draw(t, "duplication")
				sim.maxDelay = sim.minDelay + rapid.Int64Range(0, 400*microsPerMilli).Draw(t, "delay")
			},
			"Start": func(t *rapid.T) {
				if n := anyNode(t); !n.up {
					sim.start(n)
				}
			},
			"Run": func(t *rapid.T) { sim.run(rapid.Int64Range(1, 2000).Draw(t, "millis")) },
			"":    func(t *rapid.T) { require.Empty(t, sim.violations) },
		})
		sim.healFaults()
		sim.run(recoveryMillis)
		require.Empty(t, sim.violations)
		require.Empty(t, sim.unowned())
	})
}

// TestArbitraryMessages guards against a message that crashes a table, makes it grow without
// bound, or makes it tick again without delay.
func TestArbitraryMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		units := makeUnits(2, 3, 0)
		table := New(Config{Seat: 0, Incarnation: 1}, 1000)
		table.SetUnits(1000, 1, units)
		now := tiller.Millis(1000)
		number := rapid.OneOf(rapid.Int64Range(-10, 20_000), rapid.Int64())
		for range 100 {
			now += tiller.Millis(rapid.Int64Range(0, 4000).Draw(t, "step"))
			m := Message{
				Kind:         MessageKind(rapid.IntRange(0, 5).Draw(t, "kind")),
				Unit:         units[rapid.IntRange(0, 1).Draw(t, "unit")].ID,
				Epoch:        unitEpoch(1, units[0].Voters),
				Seat:         rapid.IntRange(-1, 3).Draw(t, "seat"),
				Incarnation:  rapid.Int64Range(0, 2).Draw(t, "incarnation"),
				SentAt:       tiller.Millis(number.Draw(t, "sent")),
				Length:       tiller.Millis(rapid.Int64Range(-10, math.MaxInt32).Draw(t, "length")),
				Holder:       rapid.IntRange(-2, 4).Draw(t, "holder"),
				SuspectsHash: rapid.Uint64().Draw(t, "hash"),
				Renewal:      rapid.Bool().Draw(t, "renewal"),
				Wait:         tiller.Millis(rapid.Int64Range(-10, math.MaxInt32).Draw(t, "wait")),
			}
			for i := range rapid.IntRange(0, 100).Draw(t, "suspects") {
				m.Suspects = append(m.Suspects, Suspect{Digest: uint64(i), Losses: int(number.Draw(t, "losses")), Expires: tiller.Millis(number.Draw(t, "expires"))})
			}
			require.LessOrEqual(t, len(table.Receive(now, rapid.IntRange(-1, 4).Draw(t, "from"), m, 1)), 4)
			table.Tick(now, 1)
			require.Greater(t, table.NextWake(), now)
			for _, u := range units {
				require.LessOrEqual(t, len(table.Suspects(now, u.ID)), MaxSuspects)
			}
		}
	})
}

// TestSlowDocumentPropagation guards against new voters that grant a lease while an owner from the old
// document holds one. The old voters apply the new document at the last permitted moment, and all clocks
// have the maximum drift.
func TestSlowDocumentPropagation(t *testing.T) {
	sim := newSimulation(1, 6, []Unit{{ID: UnitID{Service: "bulletin"}, Voters: []int{0, 1, 2}}})
	for i, n := range sim.nodes {
		n.ppm = []int64{-10_000, 10_000}[i/3]
	}
	sim.startAll()
	sim.run(startupMillis)
	sim.units = []Unit{{ID: sim.units[0].ID, Voters: []int{3, 4, 5}}}
	for _, n := range sim.nodes[3:] {
		n.table.SetUnits(n.localTime(sim.now), 1, sim.units)
		sim.scheduleTick(n)
	}
	sim.run(int64(DefaultPropagationMillis))
	for _, n := range sim.nodes[:3] {
		n.table.SetUnits(n.localTime(sim.now), 1, sim.units)
	}
	sim.run(3000)
	require.Empty(t, sim.violations)
	require.Empty(t, sim.unowned())
}

// TestRestartedVoterGrace guards against a successor that starts while requests of the previous owner may run,
// because a voter lost its record of that owner in a restart.
func TestRestartedVoterGrace(t *testing.T) {
	sim := newSimulation(1, 3, makeUnits(1, 3, 0))
	sim.startAll()
	sim.run(startupMillis)
	sim.nodes[2].partition = 1
	sim.run(3000)
	sim.nodes[1].ppm = 10_000
	sim.stop(sim.nodes[1])
	sim.start(sim.nodes[1])
	sim.run(1000)
	sim.stop(sim.nodes[0])
	sim.nodes[2].partition = 0
	sim.run(1500)
	require.Empty(t, sim.violations)
	require.Empty(t, sim.unowned())
}

// TestVoter checks rules of a voter that network faults rarely exercise.
func TestVoter(t *testing.T) {
	unit := Unit{ID: UnitID{Service: "bulletin"}, Voters: []int{0, 1, 2}}
	settled := 1000 + lengthenForDrift(DefaultPropagationMillis) + LeaseMillis
	voter := func() *Table {
		table := New(Config{Seat: 2, Incarnation: 1}, 1000)
		table.SetUnits(1000, 1, []Unit{unit})
		return table
	}
	request := Message{
		Kind: Request, Unit: unit.ID, Epoch: unitEpoch(1, unit.Voters),
		Seat: 1, Incarnation: 5, SentAt: 7, Length: LeaseMillis, Settled: true,
	}
	reply := func(table *Table, now tiller.Millis, m Message) MessageKind {
		return table.Receive(now, 1, m, 1)[0].Message.Kind
	}

	t.Run("OtherIncarnationDenied", func(t *testing.T) {
		table := voter()
		require.Equal(t, Grant, reply(table, settled, request))
		next := request
		next.Incarnation++
		require.Equal(t, Deny, reply(table, settled+LeaseMillis-1, next))
		require.Equal(t, Grant, reply(table, settled+LeaseMillis, next))
		require.Empty(t, table.Receive(settled+LeaseMillis, 1, request, 1))
	})
	t.Run("ReturnToEarlierEpochDenied", func(t *testing.T) {
		table := voter()
		table.SetUnits(settled, 2, []Unit{unit})
		table.SetUnits(settled+1, 1, []Unit{unit})
		require.Equal(t, Deny, reply(table, settled+LeaseMillis, request))
	})
	t.Run("LateGrantReleased", func(t *testing.T) {
		table := voter()
		out := table.Tick(settled, 1)
		require.Len(t, out, 2)
		require.Len(t, table.Tick(settled+ReplyTimeoutMillis, 1), 2)
		late := out[0].Message
		late.Kind = Grant
		out = table.Receive(settled+ReplyTimeoutMillis, 1, late, 1)
		require.Len(t, out, 1)
		require.Equal(t, Release, out[0].Message.Kind)
	})
}
