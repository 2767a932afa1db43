package gatherer

import (
	"maps"
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

// This file keeps a request that crashes the upstreams that run it from reaching one upstream after the other.
// Its client sends it again, to any daemon, and each daemon sends it to further upstreams. A lost connection
// alone shows nothing, because upstreams also lose answers. A request is blocked once upstreams went down under
// it without any of them answering it; the daemons add up what they saw.

const (
	// unclearMillis is the time in which an upstream that lost a connection usually answers another request, if it
	// did not crash. Then it is probed.
	unclearMillis = 300
	// suspectReportMillis is the time after which a suspect request is reported. Most are answered elsewhere
	// before.
	suspectReportMillis = 500
	// suspiciousLosses is the number of connections lost under a query without any answer from which the next
	// request waits until it is known whether the upstreams crashed.
	suspiciousLosses = 2
	// suspiciousProbeMillis is the time after which upstreams are probed that lost the connections of a suspicious
	// query. Answers of its other shards arrive before.
	suspiciousProbeMillis = 60
	// maxSuspectReports bounds the suspect requests in a report. Blocked ones come first.
	maxSuspectReports = 256
)

// unclearLoss is a lost connection of which it is not known whether the upstream crashed.
type unclearLoss struct {
	upstream *upstream
	at       tiller.Millis
	// digests are those of the requests that were outstanding at the upstream.
	digests map[uint64]bool
	probed  bool
}

// ProbeUpstream checks whether an upstream accepts connections.
type ProbeUpstream struct{ Upstream cataloger.Upstream }

// UpstreamProbed reports the outcome of a ProbeUpstream.
type UpstreamProbed struct {
	ID      string
	Reached bool
}

// RequestSuspected reports that an upstream crashed while it ran a request. Blocked is true if the request is
// refused from now on.
type RequestSuspected struct {
	Digest    uint64
	Upstreams []string
	Blocked   bool
}

// SuspectReport lists the upstreams that crashed under a request.
type SuspectReport struct {
	_         struct{} `cbor:",toarray"`
	Digest    uint64
	Upstreams []string
	// Expires is the time for which the losses count.
	Expires tiller.Millis
}

func (ProbeUpstream) effect()    {}
func (RequestSuspected) effect() {}
func (UpstreamProbed) event()    {}

// recordLoss records whether the outcome of a request shows that its upstream crashed or did not crash.
func (s *State) recordLoss(now tiller.Millis, a *attempt, e AttemptEnded) {
	u := a.upstream
	switch {
	case e.Failure == nil:
		delete(s.unclear, u.ID)
	case e.Failure.Reason == tiller.ReasonConnectFailed:
		s.confirmLoss(now, u.ID)
	case e.Failure.Reason == tiller.ReasonConnectionLost && e.Failure.Verdict != tiller.NotRun:
		s.addUnclear(now, a)
	}
}

// addUnclear notes a lost connection with all requests that are outstanding at the upstream.
func (s *State) addUnclear(now tiller.Millis, a *attempt) {
	l := s.unclear[a.upstream.ID]
	if l == nil {
		l = &unclearLoss{upstream: a.upstream, at: now, digests: make(map[uint64]bool)}
		s.unclear[a.upstream.ID] = l
		s.scheduleBackground(now + unclearMillis)
	}
	for _, other := range s.attempts {
		if other.upstream == a.upstream && maySuspect(other.query) {
			l.digests[other.query.digest] = true
		}
	}
	if !maySuspect(a.query) {
		return
	}
	l.digests[a.query.digest] = true
	if a.query.losses++; s.isSuspicious(a.query) {
		s.probeUnclear(now, a.query.digest)
	}
}

// maySuspect reports whether a query may have crashed an upstream: it has a digest and no answer yet.
func maySuspect(q *query) bool { return q.digest != 0 && q.answered == 0 }

// isSuspicious reports whether further requests of a query wait because it is not clear yet whether upstreams
// crashed under it.
func (s *State) isSuspicious(q *query) bool {
	if q.losses < suspiciousLosses || !maySuspect(q) {
		return false
	}
	for _, l := range s.unclear {
		if l.digests[q.digest] {
			return true
		}
	}
	return false
}

// probeUnclear probes all upstreams soon that may have crashed under a request.
func (s *State) probeUnclear(now tiller.Millis, digest uint64) {
	for _, l := range s.unclear {
		if l.digests[digest] {
			l.at = min(l.at, now+suspiciousProbeMillis-unclearMillis)
		}
	}
	s.scheduleBackground(now + suspiciousProbeMillis)
}

// checkUnclear probes the upstreams that have not answered any request since they lost a connection.
func (s *State) checkUnclear(now tiller.Millis) {
	for _, id := range slices.Sorted(maps.Keys(s.unclear)) {
		l := s.unclear[id]
		switch {
		case l.probed:
		case now >= l.at+unclearMillis:
			l.probed = true
			s.emit(ProbeUpstream{Upstream: l.upstream.Upstream})
		default:
			s.scheduleBackground(l.at + unclearMillis)
		}
	}
}

// endUpstreamProbe settles whether an upstream crashed.
func (s *State) endUpstreamProbe(now tiller.Millis, e UpstreamProbed) {
	if e.Reached {
		delete(s.unclear, e.ID)
		return
	}
	s.confirmLoss(now, e.ID)
}

// confirmLoss counts the crash of an upstream against the requests that were outstanding there.
func (s *State) confirmLoss(now tiller.Millis, id string) {
	l := s.unclear[id]
	if l == nil {
		return
	}
	delete(s.unclear, id)
	digests := slices.Sorted(maps.Keys(l.digests))
	if len(digests) == 0 {
		return
	}
	// Shards in one failure domain may all crash under one query. Only the loss of several upstreams of one service
	// speaks for an outage of the domain.
	blocked := s.harmful.RecordLoss(now, id, l.upstream.Domain+"/"+l.upstream.Service, digests)
	for _, digest := range digests {
		if s.harmful.Suspected(now, digest) {
			s.emitSuspected(now, digest)
		}
	}
	s.reportSuspects = true
	s.scheduleBackground(now + suspectReportMillis)
	if len(blocked) > 0 {
		s.announceBlocked = true
		s.scheduleBackground(now)
	}
}

func (s *State) emitSuspected(now tiller.Millis, digest uint64) {
	s.emit(RequestSuspected{Digest: digest, Upstreams: s.harmful.LostUpstreams(now, digest), Blocked: s.harmful.Blocked(now, digest)})
}

// recordSuccess clears a request that an upstream answered.
func (s *State) recordSuccess(now tiller.Millis, q *query) {
	if q.digest == 0 {
		return
	}
	s.harmful.RecordSuccess(now, q.digest)
	for _, l := range s.unclear {
		delete(l.digests, q.digest)
	}
}

// suspectReports returns the suspect requests for other daemons.
func (s *State) suspectReports(now tiller.Millis) []SuspectReport {
	var reports []SuspectReport
	for _, suspect := range s.harmful.Suspects(now, maxSuspectReports) {
		reports = append(reports, SuspectReport{
			Digest: suspect.Digest, Upstreams: s.harmful.LostUpstreams(now, suspect.Digest), Expires: suspect.Expires,
		})
	}
	return reports
}

// mergeSuspects adds the crashes that another daemon saw. A request that becomes blocked by that is announced.
func (s *State) mergeSuspects(now tiller.Millis, reports []SuspectReport) {
	for _, r := range reports[:min(len(reports), maxSuspectReports)] {
		if s.harmful.MergeLosses(now, r.Digest, r.Upstreams, r.Expires) {
			s.emitSuspected(now, r.Digest)
			s.announceBlocked = true
			s.scheduleBackground(now)
		}
	}
}
