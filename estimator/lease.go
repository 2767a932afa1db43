package estimator

import (
	"fmt"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// votedUnits returns the mean number of units for which a daemon is a voter.
func votedUnits(s Size) int {
	return max(1, s.Units*min(3, s.Daemons)/s.Daemons)
}

// leaseCost measures the lease protocol: three daemons vote on units and renew leases for one minute of virtual time.
func leaseCost(s Size) Cost {
	const seats = 3
	const runMillis = tiller.Minute
	units := leaseUnits(votedUnits(s), seats)
	tables := make([]*tracker.Table, seats)
	for seat := range tables {
		tables[seat] = tracker.New(tracker.Config{Seat: seat, Incarnation: 1, PropagationMillis: 1}, 0)
		tables[seat].SetUnits(0, 1, units)
	}
	start := time.Now()
	messages, bytes := exchange(tables, runMillis)
	seconds := time.Since(start).Seconds()
	share := float64(seats) * float64(runMillis/tiller.Second)
	return Cost{
		Mechanism:         "tracker: leases",
		Slope:             fmt.Sprintf("%d units voted on: %.1f messages and %.0f B a second", len(units), float64(messages)/share, bytes/share),
		CoreShare:         seconds / share,
		Bytes:             float64(len(units)) * leaseStateBytes(),
		BytesPerSecond:    bytes / share,
		MessagesPerSecond: float64(messages) / share,
		Control:           true,
	}
}

func leaseUnits(n, seats int) []tracker.Unit {
	units := make([]tracker.Unit, 0, n)
	for i := range n {
		u := tracker.Unit{ID: tracker.UnitID{Service: fmt.Sprintf("service-%03d", i)}}
		for rank := range seats {
			u.Voters = append(u.Voters, (i+rank)%seats)
		}
		units = append(units, u)
	}
	return units
}

// exchange advances virtual time in steps of 10 ms, delivers messages without delay and counts them.
// Each message is encoded, so that the measured time includes the encoding that a daemon does.
func exchange(tables []*tracker.Table, runMillis tiller.Millis) (messages int, bytes float64) {
	const stepMillis = 10
	for now := tiller.Millis(stepMillis); now <= runMillis; now += stepMillis {
		for seat, table := range tables {
			queue := withSender(seat, table.Tick(now, uint64(now)))
			for len(queue) > 0 {
				e := queue[0]
				queue = queue[1:]
				messages++
				bytes += encodedSize(e.Message)
				queue = append(queue, withSender(e.To, tables[e.To].Receive(now, e.from, e.Message, uint64(now)))...)
			}
		}
	}
	return messages, bytes
}

// sentEnvelope is an envelope with the seat of its sender.
type sentEnvelope struct {
	tracker.Envelope
	from int
}

func withSender(from int, out []tracker.Envelope) []sentEnvelope {
	all := make([]sentEnvelope, 0, len(out))
	for _, e := range out {
		all = append(all, sentEnvelope{e, from})
	}
	return all
}

// leaseStateBytes returns the memory of the lease state of one unit.
func leaseStateBytes() float64 {
	const units = 2000
	bytes := retainedBytes(func() *tracker.Table {
		t := tracker.New(tracker.Config{Seat: 0, Incarnation: 1}, 0)
		t.SetUnits(0, 1, leaseUnits(units, 3))
		return t
	})
	return bytes / units
}
