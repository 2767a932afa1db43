package assembler

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// leases joins the reducer with the lease protocol. Its methods run on the owner goroutine of the state.
type leases struct {
	spread tiller.Millis
	// running returns the number of queries that a unit has accepted here and not finished.
	running func(tracker.UnitID) int
	table   *tracker.Table
	units   []tracker.Unit
	epoch   uint64
}

// config returns the reducer's configuration for a daemon with peers.
func (l *leases) config() reducer.Config {
	return reducer.Config{
		Holding:        l.holding,
		OnLeaseMessage: l.receive,
		OnLeaseTick:    l.tick,
		NextLeaseWake:  l.nextWake,
		SetUnits:       l.setUnits,
		SetSeat:        l.setSeat,
		Release:        l.release,
	}
}

// setSeat begins the protocol anew for the seat that this process has claimed.
func (l *leases) setSeat(now tiller.Millis, seat int, incarnation int64) {
	l.table = tracker.New(tracker.Config{Seat: seat, Incarnation: incarnation, SpreadMillis: l.spread}, now)
	if l.units != nil {
		l.table.SetUnits(now, l.epoch, l.units)
	}
}

func (l *leases) setUnits(now tiller.Millis, epoch uint64, units []tracker.Unit) {
	l.epoch, l.units = epoch, units
	if l.table != nil {
		l.table.SetUnits(now, epoch, units)
	}
}

func (l *leases) holding(now tiller.Millis, id tracker.UnitID) tracker.Holding {
	if l.table == nil {
		return tracker.Holding{Owner: -1}
	}
	return l.table.Holding(now, id)
}

func (l *leases) receive(now tiller.Millis, random uint64, from int, m tracker.Message) []tracker.Envelope {
	if l.table == nil {
		return nil
	}
	return l.table.Receive(now, from, m, random)
}

// tick does what is due and hands back the units that are idle when a higher-ranked daemon is there.
func (l *leases) tick(now tiller.Millis, random uint64) []tracker.Envelope {
	if l.table == nil {
		return nil
	}
	out := l.table.Tick(now, random)
	for _, u := range l.units {
		h := l.table.Holding(now, u.ID)
		if h.Owned && h.HandBack && l.running(u.ID) == 0 {
			out = append(out, l.table.Release(now, u.ID)...)
		}
	}
	return out
}

func (l *leases) nextWake() tiller.Millis {
	if l.table == nil {
		return 0
	}
	return l.table.NextWake()
}

func (l *leases) release(now tiller.Millis, id tracker.UnitID) []tracker.Envelope {
	if l.table == nil {
		return nil
	}
	return l.table.Release(now, id)
}

// resign ends all ownership and voting.
func (l *leases) resign() {
	if l.table != nil {
		l.table.Resign()
	}
}
