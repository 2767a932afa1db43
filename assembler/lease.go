package assembler

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// leases joins the reducer with the lease protocol. Its methods run on the owner goroutine of the state.
type leases struct {
	propagation tiller.Millis
	// running returns the number of queries that a unit has accepted here and not finished.
	running func(tracker.UnitID) int
	table   *tracker.Table
	units   []tracker.Unit
	epoch   uint64
	// until is the time from which the process must no longer act under its seat.
	until tiller.Millis
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

// setSeat begins the protocol anew for the seat that this process has claimed; a negative one ends it.
func (l *leases) setSeat(now tiller.Millis, seat int, incarnation int64) {
	l.until = tracker.Never
	if seat < 0 {
		l.table = nil
		return
	}
	l.table = tracker.New(tracker.Config{Seat: seat, Incarnation: incarnation, PropagationMillis: l.propagation}, now)
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

// current returns the votes and leases of this daemon; nil when it may not act under a seat. The time is looked at
// on each use, so that a process that was paused does not vote under a seat that another one has claimed meanwhile.
func (l *leases) current(now tiller.Millis) *tracker.Table {
	if l.table != nil && now >= l.until {
		l.table = nil
	}
	return l.table
}

// extend moves the time until which the process may act under its seat, unless that has passed.
func (l *leases) extend(now, until tiller.Millis) bool {
	if l.current(now) == nil {
		return false
	}
	l.until = until
	return true
}

func (l *leases) holding(now tiller.Millis, id tracker.UnitID) tracker.Holding {
	if t := l.current(now); t != nil {
		return t.Holding(now, id)
	}
	return tracker.Holding{Owner: -1}
}

func (l *leases) receive(now tiller.Millis, random uint64, from int, m tracker.Message) []tracker.Envelope {
	if t := l.current(now); t != nil {
		return t.Receive(now, from, m, random)
	}
	return nil
}

// tick does what is due and hands back the units that are idle when a higher-ranked daemon is there.
func (l *leases) tick(now tiller.Millis, random uint64) []tracker.Envelope {
	t := l.current(now)
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

func (l *leases) nextWake() tiller.Millis {
	if l.table == nil {
		return 0
	}
	return l.table.NextWake()
}

func (l *leases) release(now tiller.Millis, id tracker.UnitID) []tracker.Envelope {
	if t := l.current(now); t != nil {
		return t.Release(now, id)
	}
	return nil
}
