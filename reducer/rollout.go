package reducer

import (
	"encoding/json"
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/mover"
)

const (
	// rolloutTickMillis is the time between two looks at the evidence of a rollout, in milliseconds.
	// Together with the spreading of a fault it stays below the stated 2 s.
	rolloutTickMillis tiller.Millis = 500
	// finishRetryMillis is the time after which the final state is asked for again, when
	// the document in force does not have it yet.
	finishRetryMillis = 5 * tiller.Second
)

// side says which version of a rollout a query goes to.
type side uint8

const (
	// sideAny is the side of a query of a service without a rollout.
	sideAny side = iota
	sideOld
	sideNew
)

// rollout is a rollout of a unit's service at the unit's owner.
type rollout struct {
	move     tiller.Move
	splitter mover.Splitter
	counter  *mover.Counter
	judge    *mover.Judge
	// version grows with each announcement of evidence.
	version int64
	// askedAt is the time at which the final state was asked for last; 0 when it was not.
	askedAt tiller.Millis
	timer   timer
}

// faulty says whether the new version has shown a fault, here or at another daemon.
func (s *State) faulty(r *rollout) bool {
	return r.judge.Fault().Cause != mover.NoFault || s.faults[r.move.Name] != ""
}

// share returns the share of queries that goes to the new version now.
func (s *State) share(r *rollout) float64 {
	return mover.Share(r.move, s.now, r.judge.Judged(), s.faulty(r))
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

// adoptRollout brings the rollout of a unit in line with the document in force. The evidence of
// a rollout that goes on is kept.
func (s *State) adoptRollout(u *unit) {
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
	s.barVersions(u)
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
	s.barVersions(u)
}

// barVersions keeps new attempts from the new version while its share is 0. Running work finishes.
func (s *State) barVersions(u *unit) {
	r := u.rollout
	none := r != nil && s.share(r) == 0
	for _, m := range u.list {
		barred := none && m.upstream.spec.Version == r.move.To
		if m.barred == barred {
			continue
		}
		m.barred = barred
		s.refresh(m)
		if barred {
			s.abandon(m)
		}
	}
}

// sideOf decides which version a query goes to.
func (s *State) sideOf(u *unit) side {
	r := u.rollout
	if r == nil {
		return sideAny
	}
	var isNew bool
	r.splitter, isNew = r.splitter.Next(s.share(r))
	if isNew {
		return sideNew
	}
	return sideOld
}

// admits says whether a query of a side may go to a member. Queries of the new version fall back
// to the old one, so that a fault costs their callers as little as possible.
func (m *member) admits(want side) bool {
	r := m.unit.rollout
	return want != sideOld || r == nil || m.upstream.spec.Version != r.move.To
}

// isSecond says whether a member is the second choice of a query of a side.
func (m *member) isSecond(want side) bool {
	r := m.unit.rollout
	return want == sideNew && r != nil && m.upstream.spec.Version != r.move.To
}

// sample counts an attempt as evidence. Attempts to an upstream in cold start are left out,
// because a new version always starts cold.
func (s *State) sample(a attempt, took tiller.Millis, failed bool) {
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
		Route:   a.query.tiller.Route,
		New:     version == r.move.To,
		Failed:  failed,
		Latency: took,
	})
}

// isVersionFailure says whether a failed attempt speaks against the version of its upstream.
func isVersionFailure(reason tiller.Reason) bool {
	switch reason {
	case tiller.ReasonUpstreamError, tiller.ReasonTimeout, tiller.ReasonConnectionLost,
		tiller.ReasonConnectFailed, tiller.ReasonMismatch:
		return true
	}
	return false
}

// onRolloutDue looks at the evidence of a rollout.
func (s *State) onRolloutDue(u *unit) {
	r := u.rollout
	if r == nil || r.move.State != "" {
		return
	}
	s.arm(&r.timer, s.now+rolloutTickMillis)
	if !s.owns(u) {
		return
	}
	wasFaulty := s.faulty(r)
	evidence := r.counter.Evidence()
	fault := r.judge.Update(ownEvidence, evidence)
	if fault.Cause != mover.NoFault && !wasFaulty {
		s.showFault(r, fault)
	}
	s.announceEvidence(u, evidence)
	s.barVersions(u)
	s.finishRollout(r)
}

// ownEvidence names the evidence of this daemon in the judge.
const ownEvidence = "own"

// showFault spreads a fault, which is never taken back.
func (s *State) showFault(r *rollout, f mover.Fault) {
	text := fmt.Sprintf("%s on route %s", f.Cause, f.Route)
	s.faults[r.move.Name] = text
	s.count(CountFault, "", 1)
	s.emit(Announce{Key: faultKey + r.move.Name, Version: 1, Value: []byte(text)})
}

// announceEvidence shares the counts with the owners of the other units of the service.
func (s *State) announceEvidence(u *unit, e mover.Evidence) {
	r := u.rollout
	if u.service.owners < 2 || len(e) == 0 {
		return
	}
	text, err := json.Marshal(e)
	if err != nil {
		// Evidence holds only strings and numbers.
		return
	}
	r.version = max(r.version+1, int64(s.now))
	s.emit(Announce{Key: evidenceKey(r.move.Name, u.id.Index), Version: r.version, Value: text})
}

// finishRollout asks for the final state when the rollout has one and the document does not.
func (s *State) finishRollout(r *rollout) {
	state := mover.FinalState(r.move, s.now, r.judge.Judged(), s.faulty(r))
	if state == "" || r.askedAt > 0 && s.now < r.askedAt+finishRetryMillis {
		return
	}
	r.askedAt = s.now
	s.emit(FinishMove{Move: r.move.Name, State: state, Detail: s.faults[r.move.Name]})
}

// Prefixes of the keys of shared facts.
const (
	faultKey          = "fault/"
	evidenceKeyPrefix = "evidence/"
)

func evidenceKey(move string, index int) string {
	return fmt.Sprintf("%s%s/%d", evidenceKeyPrefix, move, index)
}

// onFact takes a fact that another daemon has announced.
func (s *State) onFact(e FactLearned) {
	for _, u := range s.held {
		r := u.rollout
		if r == nil {
			continue
		}
		switch e.Key {
		case faultKey + r.move.Name:
			s.faults[r.move.Name] = string(e.Value)
			s.barVersions(u)
		default:
			s.mergeEvidence(u, e)
		}
	}
	if len(e.Key) > len(faultKey) && e.Key[:len(faultKey)] == faultKey {
		s.faults[e.Key[len(faultKey):]] = string(e.Value)
	}
}

// mergeEvidence adds the counts of another unit of the same service.
func (s *State) mergeEvidence(u *unit, e FactLearned) {
	for index := range u.service.ownersOrZero() {
		if index == u.id.Index || e.Key != evidenceKey(u.rollout.move.Name, index) {
			continue
		}
		var evidence mover.Evidence
		if json.Unmarshal(e.Value, &evidence) == nil {
			u.rollout.judge.Update(e.Key, evidence)
		}
	}
}

// ownersOrZero returns the number of units of a service; 0 for a service that the document does not have.
func (sv *service) ownersOrZero() int {
	if sv == nil {
		return 0
	}
	return sv.owners
}
