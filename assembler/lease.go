package assembler

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// leaseAdapter connects the reducer to the lease protocol. Its methods run on the goroutine that owns the
// reducer state.
type leaseAdapter struct {
	propagation tiller.Millis
	// running returns the number of queries for a unit that this daemon has accepted and not finished.
	running func(tracker.UnitID) int
	table   *tracker.Table
	units   []tracker.Unit
	epoch   uint64
	// seatUntil is the time from which the process must no longer act under its seat.
	seatUntil tiller.Millis
}

// reducerConfig returns the reducer configuration for a daemon with peers.
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

// setSeat restarts the lease protocol under the seat that this process has claimed. A negative seat ends it.
func (l *leaseAdapter) setSeat(now tiller.Millis, seat int, incarnation int64) {
	l.seatUntil = tracker.Never
	if seat < 0 {
		l.table = nil
		return
	}
	l.table = tracker.New(tracker.Config{Seat: seat, Incarnation: incarnation, PropagationMillis: l.propagation}, now)
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

// activeTable returns the votes and leases of this daemon, or nil when it may not act under a seat. It checks the
// time on each call, so that a process that was paused does not vote under a seat that another process has
// claimed in the meantime.
func (l *leaseAdapter) activeTable(now tiller.Millis) *tracker.Table {
	if l.table != nil && now >= l.seatUntil {
		l.table = nil
	}
	return l.table
}

// extend sets seatUntil. It returns false when the previous time has passed.
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

// tick runs the due steps of the lease protocol, and releases each unit without running queries that is to go
// back to a higher-ranked daemon.
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
