package assembler

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// leaseAdapter joins the reducer with the lease protocol. Its methods run on the owner goroutine of the state.
type leaseAdapter struct {
	spreadMillis tiller.Millis
	// running returns the number of queries that a unit has accepted here and not finished.
	running func(tracker.UnitID) int
	table   *tracker.Table
	units   []tracker.Unit
	epoch   uint64
	// seatUntil is the time from which the process must no longer act under its seat.
	seatUntil tiller.Millis
}

// reducerConfig returns the reducer's configuration for a daemon with peers.
func (l *leaseAdapter) reducerConfig() reducer.Config {
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

// setSeat begins the protocol anew for the seat that this process has claimed; a negative one ends it.
func (l *leaseAdapter) setSeat(now tiller.Millis, seat int, incarnation int64) {
	l.seatUntil = tracker.Never
	if seat < 0 {
		l.table = nil
		return
	}
	l.table = tracker.New(tracker.Config{Seat: seat, Incarnation: incarnation, SpreadMillis: l.spreadMillis}, now)
	if l.units != nil {
		l.table.SetUnits(now, l.epoch, l.units)
	}
}

func (l *leaseAdapter) setUnits(now tiller.Millis, epoch uint64, units []tracker.Unit) {
	l.epoch, l.units = epoch, units
	if l.table != nil {
		l.table.SetUnits(now, epoch, units)
	}
}

// activeTable returns the votes and leases of this daemon; nil when it may not act under a seat. The time is looked at
// on each use, so that a process that was paused does not vote under a seat that another one has claimed meanwhile.
func (l *leaseAdapter) activeTable(now tiller.Millis) *tracker.Table {
	if l.table != nil && now >= l.seatUntil {
		l.table = nil
	}
	return l.table
}

// extend moves the time until which the process may act under its seat, unless that has passed.
func (l *leaseAdapter) extend(now, until tiller.Millis) bool {
	if l.activeTable(now) == nil {
		return false
	}
	l.seatUntil = until
	return true
}

func (l *leaseAdapter) holding(now tiller.Millis, id tracker.UnitID) tracker.Holding {
	if t := l.activeTable(now); t != nil {
		return t.Holding(now, id)
	}
	return tracker.Holding{Owner: -1}
}

func (l *leaseAdapter) receive(now tiller.Millis, random uint64, from int, m tracker.Message) []tracker.Envelope {
	if t := l.activeTable(now); t != nil {
		return t.Receive(now, from, m, random)
	}
	return nil
}

// tick does what is due and hands back the units that are idle when a higher-ranked daemon is there.
func (l *leaseAdapter) tick(now tiller.Millis, random uint64) []tracker.Envelope {
	t := l.activeTable(now)
	if t == nil {
		return nil
	}
	out := t.Tick(now, random)
	for _, u := range l.units {
		h := t.Holding(now, u.ID)
		if h.Owned && h.HandBack && l.running(u.ID) == 0 {
			out = append(out, t.Release(now, u.ID)...)
		}
	}
	return out
}

func (l *leaseAdapter) nextWake() tiller.Millis {
	if l.table == nil {
		return 0
	}
	return l.table.NextWake()
}

func (l *leaseAdapter) release(now tiller.Millis, id tracker.UnitID) []tracker.Envelope {
	if t := l.activeTable(now); t != nil {
		return t.Release(now, id)
	}
	return nil
}
