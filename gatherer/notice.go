package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

// This file heeds what upstreams say of themselves in their answers: that they are about to end, which the store may
// say much later or not at all while it is away, or that they want no requests from this daemon for a while. Daemons
// that gather for each other pass on which upstreams are leaving.

const (
	// pauseSpread is the largest part of a pause by which this daemon returns later, so that the daemons do not all
	// return at once.
	pauseSpread = 0.5
	// maxPauseSpreadMillis bounds that time.
	maxPauseSpreadMillis = 1000.0
)

// UpstreamLeaving reports that an upstream is about to end and gets no new requests. Its idle connections are closed.
type UpstreamLeaving struct {
	Upstream cataloger.Upstream
	// Daemon is the VM of the daemon that passed it on; empty if the upstream itself said it.
	Daemon string
}

// UpstreamPaused reports that an upstream asked for a pause.
type UpstreamPaused struct {
	Upstream string
	// Named is the pause that it asked for, For the time for which this daemon sends it nothing.
	Named, For tiller.Millis
}

func (UpstreamLeaving) effect() {}
func (UpstreamPaused) effect()  {}

// recordNotices heeds what an answer says of its upstream.
func (s *State) recordNotices(now tiller.Millis, a *attempt, e AttemptEnded) {
	if e.Failure != nil || e.Answer.Misdirected {
		return
	}
	u := a.upstream
	if e.Answer.Leaving {
		s.markLeaving(u, "")
	}
	if e.Answer.Pause <= 0 {
		return
	}
	spread := min(pauseSpread*float64(e.Answer.Pause), maxPauseSpreadMillis) * s.random.Float64()
	pause := e.Answer.Pause + tiller.Millis(spread)
	if now+pause <= u.pausedUntil {
		return
	}
	if now >= u.pausedUntil {
		s.emit(UpstreamPaused{Upstream: u.ID, Named: e.Answer.Pause, For: pause})
	}
	u.pausedUntil = now + pause
}

// markLeaving stops new requests to the process of an upstream. Another process under the same ID is not affected.
func (s *State) markLeaving(u *upstream, daemon string) {
	if u.leaving {
		return
	}
	u.leaving = true
	s.emit(UpstreamLeaving{Upstream: u.Upstream, Daemon: daemon})
}

// leavingUpstreams lists the upstreams of a query's shards that are leaving.
func (s *State) leavingUpstreams(q *query) []Incarnation {
	var leaving []Incarnation
	for _, sh := range q.shards {
		for _, u := range s.upstreamsByService[sh.service] {
			if u.leaving {
				leaving = append(leaving, Incarnation{ID: u.ID, Born: u.Incarnation})
			}
		}
	}
	return leaving
}

// hearLeaving marks the upstreams that another daemon reported as leaving.
func (s *State) hearLeaving(daemon string, leaving []Incarnation) {
	for _, l := range leaving {
		if u, ok := s.upstreams[l.ID]; ok && u.Incarnation == l.Born {
			s.markLeaving(u, daemon)
		}
	}
}
