package reducer

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
)

// recordLoss attributes the loss of an upstream to the digests of attempts on it that ended with a lost connection
// within lossRetentionMillis. With outstanding, the lost connection is that of the attempts in flight, and the
// loss is attributed to their digests as well.
func (s *State) recordLoss(u *upstream, outstanding bool) {
	var digests []uint64
	if outstanding {
		u.attributedLossAt = s.now
		for _, m := range u.members {
			for id := range m.attempts {
				digests = append(digests, s.attempts[id].query.digest)
			}
		}
	}
	for _, l := range u.lostDigests {
		if s.now-l.at < lossRetentionMillis {
			digests = append(digests, l.digest)
		}
		s.removeUnattributedLoss(l.digest, u)
	}
	u.lostDigests = u.lostDigests[:0]
	slices.Sort(digests)
	s.attributeLoss(u, slices.Compact(digests))
}

// removeUnattributedLoss removes an upstream from the unattributed losses of a digest.
func (s *State) removeUnattributedLoss(digest uint64, u *upstream) {
	left := slices.DeleteFunc(s.unattributedLosses[digest], func(other *upstream) bool { return other == u })
	if len(left) == 0 {
		delete(s.unattributedLosses, digest)
		return
	}
	s.unattributedLosses[digest] = left
}

// attributeLoss counts the loss of an upstream against digests, and blocks those that reach the bound.
func (s *State) attributeLoss(u *upstream, digests []uint64) {
	for _, d := range s.quarantine.RecordLoss(s.now, u.spec.Name, u.spec.Domain, digests) {
		s.block(d)
	}
}

// recordConnectionLoss keeps the digest of an attempt whose connection was lost until there is an indication that
// the upstream was lost too. The loss is attributed to a canary immediately, because another canary
// must not be sent before such an indication arrives.
func (s *State) recordConnectionLoss(a attempt) {
	u := a.member.upstream
	// The loss of an attempt that was sent before is already attributed.
	if a.sentAt <= u.attributedLossAt {
		return
	}
	if a.query.running.canaryOnly {
		s.attributeLoss(u, []uint64{a.query.digest})
		return
	}
	u.lostDigests = slices.DeleteFunc(u.lostDigests, func(l lostDigest) bool {
		old := s.now-l.at >= lossRetentionMillis
		if old {
			s.removeUnattributedLoss(l.digest, u)
		}
		return old
	})
	if len(u.lostDigests) < maxLostDigests {
		u.lostDigests = append(u.lostDigests, lostDigest{digest: a.query.digest, at: s.now})
		s.unattributedLosses[a.query.digest] = append(s.unattributedLosses[a.query.digest], u)
	}
}

// isSuspect reports whether an upstream was lost, or may have been lost, while it ran a request with the digest.
// It may have been lost when a connection was lost and it is not known yet whether the upstream was lost too.
func (s *State) isSuspect(digest uint64) bool {
	for _, u := range s.unattributedLosses[digest] {
		for _, l := range u.lostDigests {
			if l.digest == digest && s.now-l.at < lossRetentionMillis {
				return true
			}
		}
	}
	return s.quarantine.Suspected(s.now, digest)
}

// clearDigestLosses removes the unattributed losses of a digest after a request with it has succeeded.
func (s *State) clearDigestLosses(digest uint64) {
	for _, u := range s.unattributedLosses[digest] {
		u.lostDigests = slices.DeleteFunc(u.lostDigests, func(l lostDigest) bool { return l.digest == digest })
	}
	delete(s.unattributedLosses, digest)
}

// block refuses the queries with a digest that has just been blocked.
func (s *State) block(d uint64) {
	s.count(CountBlocked, tiller.ReasonHarmful, 1)
	for _, name := range s.quarantine.LostUpstreams(s.now, d) {
		s.clearUpstreamLosses(name)
	}
	g, ok := s.digestGroups[d]
	if !ok {
		return
	}
	queries := slices.Clone(g.queries.items)
	for _, q := range queries {
		g.canary = nil
		s.refuseHarmful(q)
	}
}

// clearUpstreamLosses removes the unattributed losses on an upstream, because a blocked digest caused them.
func (s *State) clearUpstreamLosses(name string) {
	u, ok := s.upstreams[name]
	if !ok {
		return
	}
	for _, l := range u.lostDigests {
		s.removeUnattributedLoss(l.digest, u)
	}
	u.lostDigests = u.lostDigests[:0]
}

func (s *State) refuseHarmful(q *query) {
	// An earlier attempt under the same identifier may have run.
	q.mayHaveRun = true
	s.refuse(q, tiller.ReasonHarmful, "upstreams were lost while they ran this request")
}
