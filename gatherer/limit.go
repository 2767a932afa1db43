package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
)

// This file keeps to the request rates that upstreams in need ask for. An upstream names what it takes from all
// daemons together. Each daemon that heard of it keeps to its own part, so that no agreement is needed. What finds
// no room goes to another upstream, or is refused at once.

const (
	// limitBurstMillis is the time for which unused parts of a limit are kept.
	limitBurstMillis = 500.0
	// nearLimitShare is the part of a limit for the daemons that send to the upstream regularly. All others share
	// the rest.
	nearLimitShare = 0.75
	// minLimitPerSecond is the rate at which an upstream is asked at least, to learn whether its limit still holds.
	minLimitPerSecond = 0.2
	// limitSendersPerRate and minLimitSenders set the number of daemons that send to a limited upstream at most: a
	// number for each request a second plus a minimum. The parts of more daemons would be spent at once after a
	// while without requests.
	limitSendersPerRate = 2.0
	minLimitSenders     = 3
	// limitChangeShare is the relative change of a limit from which it is logged.
	limitChangeShare = 0.2
)

// requestLimit is a rate of requests that an upstream asked for, and a token bucket with this daemon's part.
type requestLimit struct {
	named     bool
	perSecond float64
	// logged is the rate that was logged last.
	logged float64
	// namedAt is the time of the latest answer that named the limit.
	namedAt tiller.Millis
	tokens  float64
	filled  tiller.Millis
}

// UpstreamLimited reports that an upstream named, changed or lifted a limit.
type UpstreamLimited struct {
	Upstream string
	// PerSecond is the rate for all daemons together. It is negative if the limit was lifted.
	PerSecond float64
	// Share is this daemon's part of it, in requests a second.
	Share float64
}

func (UpstreamLimited) effect() {}

// recordLimit applies the limit that an answer names. An answer without one lifts the limit, unless its request was
// sent before the limit was named.
func (s *State) recordLimit(now tiller.Millis, a *attempt, e AttemptEnded) {
	if e.Failure != nil || e.Answer.Misdirected {
		return
	}
	l := &a.upstream.limit
	if !e.Answer.Limited {
		if l.named && a.sent >= l.namedAt {
			*l = requestLimit{}
			s.emit(UpstreamLimited{Upstream: a.upstream.ID, PerSecond: -1})
		}
		return
	}
	if !l.named {
		*l = requestLimit{named: true, filled: now, logged: -1}
	}
	l.perSecond, l.namedAt = max(e.Answer.LimitPerSecond, minLimitPerSecond), now
	if d := l.perSecond - l.logged; l.logged < 0 || max(d, -d) > limitChangeShare*l.logged {
		l.logged = l.perSecond
		s.emit(UpstreamLimited{Upstream: a.upstream.ID, PerSecond: l.perSecond, Share: s.limitShare(a.upstream)})
	}
}

// admitsLimit reports whether this daemon's part of an upstream's limit leaves room for a request now.
func (s *State) admitsLimit(now tiller.Millis, u *upstream) bool {
	l := &u.limit
	if !l.named {
		return true
	}
	rate := s.limitShare(u)
	l.tokens = min(l.tokens+rate*float64(now-l.filled)/1000, max(rate*limitBurstMillis/1000, 1))
	l.filled = now
	return l.tokens >= 1
}

// limitShare returns this daemon's part of an upstream's limit, in requests a second.
func (s *State) limitShare(u *upstream) float64 {
	limit, size := u.limit.perSecond, max(s.fleet.size, 1)
	senders := min(int(limitSendersPerRate*limit)+minLimitSenders, size)
	near, isNear := s.nearSenders(u)
	switch {
	case near >= senders:
		if s.rankFor(u.ID) >= senders {
			return 0
		}
		return limit / float64(senders)
	case isNear:
		return nearLimitShare * limit / float64(max(near, 1))
	case s.rankFor(u.ID) >= senders:
		return 0
	}
	return (1 - nearLimitShare) * limit / float64(min(senders, size-near))
}

// nearSenders returns the number of daemons that regularly send requests to an upstream, and whether this is one of
// them.
func (s *State) nearSenders(u *upstream) (int, bool) {
	if s.isGrouped(u.Service) {
		return gatherersPerGroup, u.Domain == s.settings.Domain && s.isGatherer(u.Service, s.groupCountOf(u.Service))
	}
	n := len(s.peersByRegion[u.Region])
	if u.Region == s.settings.Region {
		return n + 1, true
	}
	return n, false
}

// limitRetryAfter returns the time after which an upstream of a limited service has room for a request of this
// daemon again, or the pause of one has ended.
func (s *State) limitRetryAfter(now tiller.Millis, service string) tiller.Millis {
	retryAfter := tiller.Millis(0)
	for _, u := range s.upstreamsByService[service] {
		if wait := u.pausedUntil - now; wait > 0 && (retryAfter == 0 || wait < retryAfter) {
			retryAfter = wait
		}
		rate := s.limitShare(u)
		if !u.limit.named || rate <= 0 {
			continue
		}
		if wait := tiller.Millis((1-u.limit.tokens)/rate*1000) + 1; retryAfter == 0 || wait < retryAfter {
			retryAfter = wait
		}
	}
	return max(retryAfter, retryAfterMillis)
}

// noUpstreamReason returns why a shard finds no upstream: Limited if one has no room within its limit.
func (s *State) noUpstreamReason(now tiller.Millis, service string) tiller.Reason {
	for _, u := range s.upstreamsByService[service] {
		if !s.admitsLimit(now, u) || now < u.pausedUntil {
			return tiller.ReasonLimited
		}
	}
	return tiller.ReasonNoUpstream
}
