package mover

import tiller "github.com/carawaytiller/carawaytiller"

const (
	// canaryFraction is the fraction of a rollout's time during which the new version gets at most the canary share.
	canaryFraction = 0.3
	// rampEndFraction is the fraction of a rollout's time after which the new version gets maxRampShare. In the
	// remaining time, faults under full load are found while the old version can still take over.
	rampEndFraction = 0.9
	// maxRampShare is the maximum share before FinishBy. The old version keeps a few requests,
	// because faults are found by comparison with it.
	maxRampShare = 0.95
)

// Share returns the fraction of queries, from 0 to 1, that the new version gets at the time now. It is the
// canary share until the version is judged and canaryFraction of the time has passed, and then increases
// linearly to maxRampShare. A fault sets it to 0 immediately. The arguments judged and fault are those of
// Judge.Judged and Judge.Fault.
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

// MaxCanaryPercent is the maximum percentage of queries that the new version gets before it is judged.
const MaxCanaryPercent = 5

// FinalState returns the final state of a rollout, or an empty state while it is in progress. A state already set
// in m is kept. Otherwise the state is MoveTakenBack as soon as a fault is found. From FinishBy on it is
// MoveDone if the new version is judged without a fault, and MoveTakenBack if it is not judged.
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

// Splitter divides queries between two versions. Of the first n queries, for any n, at most the requested
// share goes to the new version; a random choice would exceed the share at times. It is immutable.
type Splitter struct {
	// credit is the sum of the shares less the number of queries sent to the new version.
	credit float64
}

// Next reports whether the next query goes to the new version at the given share, and returns the next Splitter.
func (s Splitter) Next(share float64) (Splitter, bool) {
	credit := s.credit + share
	if credit >= 1 {
		return Splitter{credit: credit - 1}, true
	}
	return Splitter{credit: credit}, false
}
