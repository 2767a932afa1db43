package mover

import tiller "github.com/carawaytiller/carawaytiller"

const (
	// canaryPart is the part of a rollout's time that is kept for judging at the canary share.
	canaryFraction = 0.3
	// fullPart is the part of the time after which the new version gets fullShare, which leaves the rest
	// to see faults under full load while the old version can still take over.
	rampEndFraction = 0.9
	// fullShare is the greatest share before FinishBy. The old version keeps a few requests,
	// because a fault is seen by comparison with it.
	maxRampShare = 0.95
)

// Share returns the share of queries, from 0 to 1, that the new version gets at a time.
// Until the version is judged the share stays at the canary share; a fault makes it 0 at once.
func Share(m tiller.Move, now tiller.Millis, judged bool, fault bool) float64 {
	switch {
	case m.State == tiller.MoveDone:
		return 1
	case m.State == tiller.MoveTakenBack || fault || now < m.StartAt:
		return 0
	}
	canary := float64(min(m.CanaryPercent, MaxCanaryPercent)) / 100
	elapsed := float64(now-m.StartAt) / float64(max(m.FinishBy-m.StartAt, 1))
	if !judged || elapsed < canaryFraction {
		return canary
	}
	ramp := (elapsed - canaryFraction) / (rampEndFraction - canaryFraction)
	return min(maxRampShare, canary+(maxRampShare-canary)*ramp)
}

// MaxCanaryPercent is the greatest share, in 100 queries, that a version gets before it is judged.
const MaxCanaryPercent = 5

// FinalState returns the state that a rollout is to end in, or an empty state while it runs.
// It is Done only when the new version has served all traffic without a fault until FinishBy,
// and TakenBack when a fault shows or it was never judged by then.
func FinalState(m tiller.Move, now tiller.Millis, judged bool, fault bool) tiller.MoveState {
	switch {
	case m.State != "":
		return m.State
	case fault:
		return tiller.MoveTakenBack
	case now < m.FinishBy:
		return ""
	case judged:
		return tiller.MoveDone
	}
	return tiller.MoveTakenBack
}

// Splitter divides queries between two versions so that of any first n queries at most
// the share asked for goes to the new version, which a random choice would pass now and then.
type Splitter struct {
	credit float64
}

// Next takes the present share and says whether the next query goes to the new version.
func (s Splitter) Next(share float64) (Splitter, bool) {
	credit := s.credit + share
	if credit >= 1 {
		return Splitter{credit: credit - 1}, true
	}
	return Splitter{credit: credit}, false
}
