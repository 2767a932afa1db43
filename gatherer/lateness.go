package gatherer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

// This file lets answers leave earlier on daemons whose answers have recently left late. At the worst load most queries
// wait for their last shards until the answer is due. Timers that fire late, replies that arrive all at once and the
// assembling of the answer then take longer than the fixed margin, and nearly all of those answers miss the target
// by a few milliseconds.

const (
	// latenessSmoothing is the weight of a new sample in the moving averages.
	latenessSmoothing = 0.1
	// latenessDeviations is the number of mean deviations above the mean that the margin covers.
	latenessDeviations = 2.0
	// maxLatenessMillis bounds a sample, so that one stall of the process does not shorten the answers after it.
	maxLatenessMillis = 40.0
	// latenessHalfLife is the half-life in milliseconds of the estimate while no answer is sent when it is due.
	latenessHalfLife = 4000.0
)

// AnswerWritten reports that a gathered answer, which was due at Due, has been written to its client.
type AnswerWritten struct{ Due tiller.Millis }

func (AnswerWritten) event() {}

// lateness estimates how long after they were due answers are written.
type lateness struct {
	mean, deviation float64
	updated         tiller.Millis
}

// with returns l updated with an answer that was written late by some milliseconds.
func (l lateness) with(now tiller.Millis, late float64) lateness {
	late = math.Min(math.Max(late, 0), maxLatenessMillis)
	weight := math.Exp2(-float64(now-l.updated) / latenessHalfLife)
	mean, deviation := l.mean*weight, l.deviation*weight
	return lateness{
		mean:      mean + latenessSmoothing*(late-mean),
		deviation: deviation + latenessSmoothing*(math.Abs(late-mean)-deviation),
		updated:   now,
	}
}

// margin returns the time by which answers are to leave earlier.
func (l lateness) margin(now tiller.Millis) tiller.Millis {
	weight := math.Exp2(-float64(now-l.updated) / latenessHalfLife)
	return tiller.Millis(weight * math.Min(l.mean+latenessDeviations*l.deviation, maxLatenessMillis))
}

// recordWritten updates the lateness with an answer. One that left before it was due tells nothing.
func (s *State) recordWritten(now tiller.Millis, e AnswerWritten) {
	if now >= e.Due {
		s.lateness = s.lateness.with(now, float64(now-e.Due))
	}
}
