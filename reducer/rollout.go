package reducer

import (
	"encoding/json"
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/mover"
)

const (
	// rolloutTickMillis is the interval at which the evidence of a rollout is evaluated. Together with the time
	// to distribute a fault to all daemons it stays below the stated 2 s.
	rolloutTickMillis tiller.Millis = 500
	// finishRetryMillis is the time after which FinishMove is emitted again if the document in force does not
	// have the final state yet.
	finishRetryMillis = 5 * tiller.Second
)

// targetVersion is the version of a rollout that a query is sent to.
type targetVersion uint8

const (
	// versionAny is used for a service without a rollout.
	versionAny targetVersion = iota
	versionOld
	versionNew
)

// rollout is the state of the rollout of a unit's service at the unit's owner.
type rollout struct {
	move     tiller.Move
	splitter mover.Splitter
	counter  *mover.Counter
	judge    *mover.Judge
	// version increases with each announcement of evidence.
	version int64
	// askedAt is the time of the last FinishMove; 0 when there was none.
	askedAt tiller.Millis
	timer   timer
}

// isFaulty reports whether this or another daemon found a fault of the new version.
func (s *State) isFaulty(r *rollout) bool {
	return r.judge.Fault().Cause != mover.NoFault || s.rolloutFaults[r.move.Name] != ""
}

// newShare returns the share of queries, from 0 to 1, that goes to the new version now.
func (s *State) newShare(r *rollout) float64 {
	return mover.Share(r.move, s.now, r.judge.Judged(), s.isFaulty(r))
}

// moveOf returns the latest rollout of a service in the document.
func (s *State) moveOf(service string) (tiller.Move, bool) {
	var found tiller.Move
	ok := false
	for _, m := range s.document.Moves {
		if m.Service == service && (!ok || m.StartAt >= found.StartAt) {
			found, ok = m, true
		}
	}
	return found, ok
}

// updateRollout applies the document in force to the rollout of a unit. The evidence of a rollout that
// continues is kept.
func (s *State) updateRollout(u *unit) {
	var move tiller.Move
	ok := false
	if u.service != nil {
		move, ok = s.moveOf(u.service.spec.Name)
	}
	if !ok {
		s.endRollout(u)
		return
	}
	if u.rollout == nil || u.rollout.move.Name != move.Name {
		s.endRollout(u)
		u.rollout = &rollout{counter: mover.NewCounter(), judge: mover.NewJudge()}
		u.rollout.timer = timer{kind: timerRollout, unit: u}
	}
	u.rollout.move = move
	s.updateExclusions(u)
	if move.State == "" {
		s.armEarlier(&u.rollout.timer, max(s.now+rolloutTickMillis, move.StartAt))
	}
}

func (s *State) endRollout(u *unit) {
	if u.rollout == nil {
		return
	}
	s.disarm(&u.rollout.timer)
	u.rollout = nil
	s.updateExclusions(u)
}

// updateExclusions stops new attempts to the new version while its share is 0. Attempts in flight go on.
func (s *State) updateExclusions(u *unit) {
	r := u.rollout
	none := r != nil && s.newShare(r) == 0
	for _, m := range u.memberList {
		excluded := none && m.upstream.spec.Version == r.move.To
		if m.excluded == excluded {
			continue
		}
		m.excluded = excluded
		s.refresh(m)
		if excluded {
			s.detachWaiters(m)
		}
	}
}

// chooseVersion decides which version the next query is sent to.
func (s *State) chooseVersion(u *unit) targetVersion {
	r := u.rollout
	if r == nil {
		return versionAny
	}
	var isNew bool
	r.splitter, isNew = r.splitter.Next(s.newShare(r))
	if isNew {
		return versionNew
	}
	return versionOld
}

// acceptsVersion reports whether a query for a version may be sent to a member. Queries for the new version may
// fall back to the old one, so that a fault affects their callers as little as possible.
func (m *member) acceptsVersion(want targetVersion) bool {
	r := m.unit.rollout
	return want != versionOld || r == nil || m.upstream.spec.Version != r.move.To
}

// isFallback reports whether a member runs the old version and the query is for the new one.
func (m *member) isFallback(want targetVersion) bool {
	r := m.unit.rollout
	return want == versionNew && r != nil && m.upstream.spec.Version != r.move.To
}

// recordSample counts an attempt as evidence. Attempts to a cold upstream are left out, because a new version
// always starts cold.
func (s *State) recordSample(a attempt, took tiller.Millis, failed bool) {
	m := a.member
	r := m.unit.rollout
	if r == nil || r.move.State != "" || m.limit.Cold() {
		return
	}
	version := m.upstream.spec.Version
	if version != r.move.From && version != r.move.To {
		return
	}
	r.counter.Record(mover.Sample{
		Route:   a.query.request.Route,
		New:     version == r.move.To,
		Failed:  failed,
		Latency: took,
	})
}

// isVersionFailure reports whether a failure counts as evidence against the version of the upstream.
func isVersionFailure(reason tiller.Reason) bool {
	switch reason {
	case tiller.ReasonUpstreamError, tiller.ReasonTimeout, tiller.ReasonConnectionLost,
		tiller.ReasonConnectFailed, tiller.ReasonMismatch:
		return true
	}
	return false
}

// onRolloutDue evaluates the evidence of a rollout.
func (s *State) onRolloutDue(u *unit) {
	r := u.rollout
	if r == nil || r.move.State != "" {
		return
	}
	s.arm(&r.timer, s.now+rolloutTickMillis)
	if !s.owns(u) {
		return
	}
	wasFaulty := s.isFaulty(r)
	evidence := r.counter.Evidence()
	fault := r.judge.Update(ownEvidenceName, evidence)
	if fault.Cause != mover.NoFault && !wasFaulty {
		s.publishFault(r, fault)
	}
	s.announceEvidence(u, evidence)
	s.updateExclusions(u)
	s.finishRollout(r)
}

// ownEvidenceName is the owner name of this daemon's evidence in the judge.
const ownEvidenceName = "own"

// publishFault records a fault and announces it to all daemons. A fault is never withdrawn.
func (s *State) publishFault(r *rollout, f mover.Fault) {
	text := fmt.Sprintf("%s on route %s", f.Cause, f.Route)
	s.rolloutFaults[r.move.Name] = text
	s.count(CountFault, "", 1)
	s.emit(Announce{Key: faultKey + r.move.Name, Version: 1, Value: []byte(text)})
}

// announceEvidence announces the counts to the owners of the other units of the service.
func (s *State) announceEvidence(u *unit, e mover.Evidence) {
	r := u.rollout
	if u.service.owners < 2 || len(e) == 0 {
		return
	}
	text, err := json.Marshal(e)
	if err != nil {
		// This cannot happen: evidence contains only strings and numbers.
		return
	}
	r.version = max(r.version+1, int64(s.now))
	s.emit(Announce{Key: evidenceKey(r.move.Name, u.id.Index), Version: r.version, Value: text})
}

// finishRollout emits FinishMove when the rollout has a final state that the document does not have.
func (s *State) finishRollout(r *rollout) {
	state := mover.FinalState(r.move, s.now, r.judge.Judged(), s.isFaulty(r))
	if state == "" || r.askedAt > 0 && s.now < r.askedAt+finishRetryMillis {
		return
	}
	r.askedAt = s.now
	s.emit(FinishMove{Move: r.move.Name, State: state, Detail: s.rolloutFaults[r.move.Name]})
}

// Key prefixes of announced facts.
const (
	faultKey          = "fault/"
	evidenceKeyPrefix = "evidence/"
)

func evidenceKey(move string, index int) string {
	return fmt.Sprintf("%s%s/%d", evidenceKeyPrefix, move, index)
}

// onFact applies a fact that another daemon announced.
func (s *State) onFact(e FactLearned) {
	for _, u := range s.unitsWithWork {
		r := u.rollout
		if r == nil {
			continue
		}
		switch e.Key {
		case faultKey + r.move.Name:
			s.rolloutFaults[r.move.Name] = string(e.Value)
			s.updateExclusions(u)
		default:
			s.mergeEvidence(u, e)
		}
	}
	if len(e.Key) > len(faultKey) && e.Key[:len(faultKey)] == faultKey {
		s.rolloutFaults[e.Key[len(faultKey):]] = string(e.Value)
	}
}

// mergeEvidence updates the judge with the counts of another unit of the same service.
func (s *State) mergeEvidence(u *unit, e FactLearned) {
	for index := range u.service.ownerCount() {
		if index == u.id.Index || e.Key != evidenceKey(u.rollout.move.Name, index) {
			continue
		}
		var evidence mover.Evidence
		if json.Unmarshal(e.Value, &evidence) == nil {
			u.rollout.judge.Update(e.Key, evidence)
		}
	}
}

// ownerCount returns the number of owners of a service; 0 for a service that the document does not have.
func (sv *service) ownerCount() int {
	if sv == nil {
		return 0
	}
	return sv.owners
}
