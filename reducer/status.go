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
	// Revision is the revision of the document in force; 0 when there is none.
	Revision int64
	Stopping bool
	// Queries is the number of accepted queries without a result, and Attempts the number of attempts in flight.
	Queries  int
	Attempts int
	// Units are the units for which this daemon has accepted a query as the owner, and Upstreams their upstreams.
	Units     []UnitStatus
	Upstreams []UpstreamStatus
}

// UnitStatus is the state of a unit at this daemon.
type UnitStatus struct {
	ID    tracker.UnitID
	Owned bool
	// Owner is the seat of the last known owner; -1 when unknown.
	Owner int
	// Lease is the remaining time of the lease; 0 without a lease or when the lease has no end.
	Lease tiller.Millis
	// Queued is the number of queries that wait for capacity or for a canary, and Running the number of queries
	// pinned to a snapshot.
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
	// Open is set when new attempts may be sent to the upstream.
	Open     bool
	Draining bool
	// Waiting is the number of running queries that wait until the upstream admits another request.
	Waiting int
}

// Explain returns the decisions for requests with an identifier, oldest first. Only the decisions
// that are still in the bounded ring are returned.
func (s *State) Explain(id tiller.RequestID) []recorder.Decision { return s.decisions.ForRequest(id) }

// Running returns the number of queries that this daemon has accepted for a unit as its owner and not finished.
// The lease protocol checks it before it hands a unit back.
func (s *State) Running(id tracker.UnitID) int {
	u, ok := s.units[id]
	if !ok || u.work == nil {
		return 0
	}
	return u.queue.Len() + u.parked + u.running
}

// Status returns the state of this daemon at the time now, which must not be before that of the last event.
func (s *State) Status(now tiller.Millis) Status {
	st := Status{
		Seat: s.seat, Incarnation: s.incarnation, Stopping: s.stopping,
		Queries: len(s.queries), Attempts: len(s.attempts),
	}
	if s.document != nil {
		st.Environment, st.Revision = s.document.Environment, s.document.Revision
	}
	for _, u := range s.unitsWithWork {
		st.Units = append(st.Units, s.unitStatus(now, u))
		for _, m := range u.memberList {
			st.Upstreams = append(st.Upstreams, m.status())
		}
	}
	return st
}

func (s *State) unitStatus(now tiller.Millis, u *unit) UnitStatus {
	h := s.holding(u)
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
		Open: m.isOpen(), Draining: m.upstream.draining, Waiting: len(m.waiters),
	}
}
