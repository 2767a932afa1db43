package gatherer

import (
	"cmp"
	"maps"
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/mover"
)

const (
	// reportMillis is the interval between two reports of a daemon during a rollout.
	reportMillis = 400
	// quietMillis is the interval for a daemon that has seen nothing new.
	quietMillis = 1600
	// reportExclusionMillis is the time for which a daemon that did not answer a report gets none.
	reportExclusionMillis = 2 * tiller.Second
	// firstReportMillis is the interval at which a daemon that has just started asks the others.
	firstReportMillis = 1 * tiller.Second
	// collectorsPerRegion is the number of daemons of each region that get the reports of all daemons.
	collectorsPerRegion = 1
	// publishRetryMillis is the interval between attempts to publish a result, publishDelayMillis the time that
	// each further daemon leaves to the one before.
	publishRetryMillis = 1000
	publishDelayMillis = 400
	maxPublishRank     = 4
)

// Report is what one daemon tells another about rollouts and harmful requests. It is also the reply to a report.
type Report struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation int64
	Rollouts    []RolloutReport
	// Suspects are the requests under which upstreams crashed.
	Suspects []SuspectReport
}

// RolloutReport is one daemon's view of a rollout.
type RolloutReport struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Revision int64
	State    cataloger.RolloutState
	// Age is the time since the first daemon learnt of the order; -1 if it is not known.
	Age tiller.Millis
	// Observed holds what the daemon itself saw.
	Observed mover.Observations
}

// SendReport sends a report to another daemon. Its reply, or the failure, comes back as ReportReceived or
// ReportLost.
type SendReport struct {
	Member cataloger.Member
	Report Report
}

// ReportReceived carries the report of another daemon, or its reply to a report.
type ReportReceived struct{ Report Report }

// ReportLost reports that a daemon did not answer a report.
type ReportLost struct{ VM string }

func (SendReport) effect()    {}
func (ReportReceived) event() {}
func (ReportLost) event()     {}

// scheduleBackground makes the next report due at a time, unless one is due before.
func (s *State) scheduleBackground(at tiller.Millis) {
	if s.backgroundAt == 0 || at < s.backgroundAt {
		s.backgroundAt = at
	}
}

// runBackground probes upstreams that may have crashed, decides the rollouts, publishes the results that are not
// in the store yet, and sends reports: decisions and blocked requests to all daemons, everything else to the
// collectors.
func (s *State) runBackground(now tiller.Millis) {
	if s.backgroundAt == 0 || now < s.backgroundAt {
		return
	}
	s.backgroundAt = 0
	s.checkUnclear(now)
	running, announce := false, false
	for _, r := range s.sortedRollouts() {
		s.judgeRollout(now, r)
		s.publishRollout(now, r)
		running = running || !r.state.IsFinal()
		announce = announce || r.unannounced
		r.unannounced = false
	}
	recipients := s.recipients(now, running, announce)
	s.reportSuspects, s.announceBlocked = false, false
	if len(recipients) > 0 {
		s.reportedAt, s.reportedRequests = now, s.observedRequests()
	}
	for _, p := range recipients {
		p.missedReport = false
	}
	for _, p := range append(recipients, s.missedReports(now)...) {
		s.emit(SendReport{Member: p.Member, Report: s.Report(now)})
	}
	s.scheduleRest(now, running)
}

// recipients returns the daemons that get a report now. running is true while a rollout is in progress, announce if
// one was decided.
func (s *State) recipients(now tiller.Millis, running, announce bool) []*peer {
	switch {
	case announce || s.announceBlocked:
		return s.sortedPeers()
	case running && (now >= s.reportedAt+quietMillis || s.observedRequests() != s.reportedRequests),
		s.reportSuspects && len(s.suspectReports(now)) > 0,
		s.awaitsFirstReport():
		return s.collectors(now)
	}
	return nil
}

// awaitsFirstReport reports whether this daemon has just started and asks the others what they know.
func (s *State) awaitsFirstReport() bool { return s.storeRead && !s.heardReport && len(s.peers) > 0 }

// scheduleRest schedules all background work that remains. Only the earliest time is kept, so a run at that time must
// set the later ones again.
func (s *State) scheduleRest(now tiller.Millis, running bool) {
	if s.awaitsFirstReport() {
		s.scheduleBackground(now + firstReportMillis)
	}
	if running {
		s.scheduleBackground(now + s.reportInterval())
	}
	for _, p := range s.peers {
		if p.missedReport {
			s.scheduleBackground(max(p.reportsFrom, now+1))
		}
	}
	for _, r := range s.rollouts {
		if r.needsPublishing() {
			s.scheduleBackground(max(r.publishAt, now+1))
		}
		if next, ok := r.nextDecision(now, s.decisionDelay()); ok {
			s.scheduleBackground(next)
		}
	}
}

// reportInterval returns the time until the next report. While a service switches, its new version gets many
// requests at once.
func (s *State) reportInterval() tiller.Millis {
	for _, r := range s.rollouts {
		if r.state == cataloger.RolloutSwitching {
			return reportMillis / 2
		}
	}
	return reportMillis
}

// nextDecision returns the next time of the plan at which a rollout may be decided.
func (r *rollout) nextDecision(now, delay tiller.Millis) (tiller.Millis, bool) {
	if r.state.IsFinal() || !r.dated {
		return 0, false
	}
	for _, at := range []tiller.Millis{r.plan.SwitchAt, r.plan.CompleteAt, r.plan.GiveUpAt} {
		if at += r.startedAt + delay; at > now {
			return at, true
		}
	}
	return 0, false
}

// needsPublishing reports whether the store lacks the state of a rollout.
func (r *rollout) needsPublishing() bool {
	if r.Revision == 0 {
		return false
	}
	if r.state.IsFinal() {
		return !r.isPublished(r.state)
	}
	return r.published.Revision <= r.Revision
}

// publishRollout publishes the state of a rollout if the store lacks it. Daemons try one after the other.
func (s *State) publishRollout(now tiller.Millis, r *rollout) {
	if !r.needsPublishing() {
		return
	}
	since := r.startedAt
	if r.state.IsFinal() {
		since = r.decidedAt
	}
	turn := since + publishDelayMillis*tiller.Millis(min(s.rankFor(r.Service), maxPublishRank))
	if r.publishAt = max(r.publishAt, turn); now < r.publishAt {
		return
	}
	r.publishAt = now + publishRetryMillis
	state := r.state
	if !state.IsFinal() {
		state = cataloger.RolloutRunning
	}
	s.emit(PublishRollout{
		Status: cataloger.RolloutStatus{Service: r.Service, Target: r.Target, State: state, Revision: r.published.Revision},
		Order:  r.Revision, Age: now - r.startedAt,
	})
}

// Report returns this daemon's view of all rollouts.
func (s *State) Report(now tiller.Millis) Report {
	report := Report{VM: s.settings.VM, Incarnation: s.settings.Incarnation, Suspects: s.suspectReports(now)}
	for _, r := range s.sortedRollouts() {
		if r.Revision == 0 {
			continue
		}
		age := tiller.Millis(-1)
		if r.dated {
			age = now - r.startedAt
		}
		report.Rollouts = append(report.Rollouts, RolloutReport{
			Service: r.Service, Revision: r.Revision, State: r.state, Age: age, Observed: maps.Clone(r.observed),
		})
	}
	return report
}

// receiveReport adds the evidence of another daemon and adopts its decisions.
func (s *State) receiveReport(now tiller.Millis, report Report) {
	if report.VM == s.settings.VM {
		return
	}
	s.heardReport = true
	if p := s.peers[report.VM]; p != nil {
		p.missedReport = false
	}
	s.mergeSuspects(now, report.Suspects)
	for _, theirs := range report.Rollouts {
		r := s.rollouts[theirs.Service]
		if r == nil || r.Revision != theirs.Revision {
			continue
		}
		r.adoptAge(now, theirs.Age)
		r.contactAt = now
		r.reports[report.VM] = now
		r.comparison.Update(processOf(report.VM, report.Incarnation), theirs.Observed)
		if !r.state.IsFinal() && theirs.State > r.state {
			s.setRolloutState(now, r, theirs.State, "Daemon "+report.VM)
		}
		if r.comparison.Fault().Cause != mover.NoFault {
			s.scheduleBackground(now)
		}
	}
	s.runBackground(now)
}

// loseReport excludes a daemon that did not answer a report.
func (s *State) loseReport(now tiller.Millis, vm string) {
	if p := s.peers[vm]; p != nil {
		p.reportsFrom, p.missedReport = now+reportExclusionMillis, true
		s.scheduleBackground(p.reportsFrom)
	}
}

// missedReports returns the daemons that did not answer their last report and may answer now. They are of no
// interest once nothing is left to tell them.
func (s *State) missedReports(now tiller.Millis) []*peer {
	report := s.Report(now)
	isEmpty := len(report.Rollouts) == 0 && len(report.Suspects) == 0
	var missed []*peer
	for _, p := range s.sortedPeers() {
		if !p.missedReport || now < p.reportsFrom {
			continue
		}
		p.missedReport = false
		if !isEmpty {
			missed = append(missed, p)
		}
	}
	return missed
}

// collectors returns the daemons that get this daemon's reports: in each region those that rank first among
// the ones that answer.
func (s *State) collectors(now tiller.Millis) []*peer {
	var chosen []*peer
	for _, region := range s.sortedRegions() {
		peers := slices.Clone(s.peersByRegion[region])
		slices.SortFunc(peers, func(a, b *peer) int { return compareCollectors(a.Power, a.VM, b.Power, b.VM) })
		n := 0
		for _, p := range peers {
			if n < collectorsPerRegion && now >= p.reportsFrom {
				chosen = append(chosen, p)
				n++
			}
		}
	}
	return chosen
}

// compareCollectors orders the daemons of a region as collectors: by descending power, because weak VMs would be
// late with many reports, then by rendezvous hashing.
func compareCollectors(powerA int, vmA string, powerB int, vmB string) int {
	if powerA != powerB {
		return cmp.Compare(powerB, powerA)
	}
	return cmp.Compare(rendezvousWeight(vmB, "collector"), rendezvousWeight(vmA, "collector"))
}

// isCollector reports whether this daemon ranks first among those of its region.
func (s *State) isCollector() bool {
	for _, p := range s.peersByRegion[s.settings.Region] {
		if compareCollectors(p.Power, p.VM, s.settings.Power, s.settings.VM) < 0 {
			return false
		}
	}
	return true
}

// observedRequests returns the number of requests that this daemon has seen in rollouts that are in progress.
func (s *State) observedRequests() int64 {
	n := int64(0)
	for _, r := range s.rollouts {
		for _, o := range r.observed {
			n += o.Old.Requests + o.New.Requests
		}
	}
	return n
}

func (s *State) sortedRegions() []string {
	regions := make([]string, 0, len(s.peersByRegion))
	for region := range s.peersByRegion {
		regions = append(regions, region)
	}
	slices.Sort(regions)
	return regions
}

func (s *State) sortedPeers() []*peer {
	peers := make([]*peer, 0, len(s.peers))
	for _, p := range s.peers {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.VM, b.VM) })
	return peers
}

func (s *State) sortedRollouts() []*rollout {
	rollouts := make([]*rollout, 0, len(s.rollouts))
	for _, r := range s.rollouts {
		rollouts = append(rollouts, r)
	}
	slices.SortFunc(rollouts, func(a, b *rollout) int { return cmp.Compare(a.Service, b.Service) })
	return rollouts
}
