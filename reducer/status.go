package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/recorder"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// Status is a view of a State for operators. Times are in milliseconds.
type Status struct {
	// Seat is -1 when this daemon has none.
	Seat        int
	Incarnation int64
	Environment string
	// Revision is that of the document in force; 0 when there is none.
	Revision int64
	Stopping bool
	// Queries is the number of accepted queries without a result, Attempts that of requests in flight.
	Queries  int
	Attempts int
	Units    []UnitStatus
	// Upstreams are those of the units that have had work here.
	Upstreams []UpstreamStatus
}

// UnitStatus is the state of a unit at this daemon.
type UnitStatus struct {
	ID    tracker.UnitID
	Owned bool
	// Owner is the seat of the last known owner; -1 when unknown.
	Owner int
	// Lease is the time left of the lease; 0 without a lease or when it has no end.
	Lease tiller.Millis
	// Queued is the number of queries that wait for capacity or for a canary, Running of those with a snapshot.
	Queued  int
	Running int
}

// UpstreamStatus is the state of an upstream in one unit.
type UpstreamStatus struct {
	Name     string
	Unit     tracker.UnitID
	InFlight int
	Limit    int
	Quota    int
	Cold     bool
	// Open says that the upstream may get new attempts.
	Open     bool
	Draining bool
	// Waiting is the number of queries that wait for room.
	Waiting int
}

// Explain returns what was decided for the requests with an identifier, oldest first,
// as far as the bounded ring still has it.
func (s *State) Explain(id tiller.RequestID) []recorder.Decision { return s.decisions.ForRequest(id) }

// Running returns the number of queries that a unit has accepted here and not finished.
// The lease protocol asks for it before it hands a unit back.
func (s *State) Running(id tracker.UnitID) int {
	u, ok := s.units[id]
	if !ok || u.work == nil {
		return 0
	}
	return u.queue.Len() + u.parked + u.running
}

// Status returns the state of this daemon at a time not before that of the last event.
func (s *State) Status(now tiller.Millis) Status {
	st := Status{
		Seat: s.seat, Incarnation: s.incarnation, Stopping: s.stopping,
		Queries: len(s.queries), Attempts: len(s.attempts),
	}
	if s.document != nil {
		st.Environment, st.Revision = s.document.Environment, s.document.Revision
	}
	for _, u := range s.held {
		st.Units = append(st.Units, s.unitStatus(now, u))
		for _, m := range u.list {
			st.Upstreams = append(st.Upstreams, m.status())
		}
	}
	return st
}

func (s *State) unitStatus(now tiller.Millis, u *unit) UnitStatus {
	h := s.holds(u)
	st := UnitStatus{
		ID: u.id, Owned: s.owns(u), Owner: h.Owner,
		Queued: u.queue.Len() + u.parked, Running: u.running,
	}
	if st.Owned && h.ValidUntil < noLeaseEnd {
		st.Lease = max(h.ValidUntil-now, 0)
	}
	return st
}

func (m *member) status() UpstreamStatus {
	return UpstreamStatus{
		Name: m.upstream.spec.Name, Unit: m.unit.id,
		InFlight: m.limit.InFlight(), Limit: m.limit.Limit(), Quota: m.limit.Quota(), Cold: m.limit.Cold(),
		Open: m.isOpen(), Draining: m.upstream.draining, Waiting: len(m.waiting),
	}
}
