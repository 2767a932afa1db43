package reducer

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
)

// lose counts the loss of an upstream against the digests whose connections were lost before, and against
// those outstanding on it when their connection is the one that was lost.
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

// settleLoss removes an upstream from those whose loss with the digest is not attributed.
func (s *State) removeUnattributedLoss(digest uint64, u *upstream) {
	left := slices.DeleteFunc(s.unattributedLosses[digest], func(other *upstream) bool { return other == u })
	if len(left) == 0 {
		delete(s.unattributedLosses, digest)
		return
	}
	s.unattributedLosses[digest] = left
}

func (s *State) attributeLoss(u *upstream, digests []uint64) {
	for _, d := range s.quarantine.RecordLoss(s.now, u.spec.Name, u.spec.Domain, digests) {
		s.block(d)
	}
}

// noteLostAttempt keeps the digest of an attempt whose connection was lost until there is a sign
// that the upstream was lost too. A canary is blamed at once: another one
// must not go out before the sign has come.
func (s *State) recordConnectionLoss(a attempt) {
	u := a.member.upstream
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

// isSuspect says whether an upstream was lost with a digest, or may have been: its connection was lost, and there is
// no sign yet whether the upstream was lost too.
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

// forgive drops the losses of a digest that are not attributed yet, because a request with it has succeeded since.
func (s *State) clearDigestLosses(digest uint64) {
	for _, u := range s.unattributedLosses[digest] {
		u.lostDigests = slices.DeleteFunc(u.lostDigests, func(l lostDigest) bool { return l.digest == digest })
	}
	delete(s.unattributedLosses, digest)
}

// block refuses the queries that have a digest which is blocked from now on.
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

// explain drops the losses on an upstream that are not attributed yet, because a blocked digest explains them.
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
