package mover

import tiller "github.com/carawaytiller/carawaytiller"

// Plan holds the times of a rollout, all since the daemon learnt of it. Until SwitchAt the new version gets
// canary requests only. From SwitchAt on it gets as many as the allowance has left, so that few requests are
// under way on the old version when that is stopped at CompleteAt.
type Plan struct {
	SwitchAt   tiller.Millis
	CompleteAt tiller.Millis
	// GiveUpAt is the time at which any daemon ends a rollout that is still undecided.
	GiveUpAt tiller.Millis
}

const (
	// maxNoticeMillis bounds the assumed delay with which a daemon learns of a rollout; of a short rollout, it
	// is at most a part of noticeFraction.
	maxNoticeMillis = 1500
	noticeFraction  = 8
	// writeMillis is reserved for publishing the result before the deadline.
	writeMillis = 500
	// switchMillis is the time between SwitchAt and CompleteAt. Most requests take less, and faults that show only
	// now are reported.
	switchMillis = 1000
	// giveUpMillis is the time after the deadline at which an undecided rollout is ended.
	giveUpMillis = 2 * tiller.Second
	// canarySlackShare is the part of the slack that is released evenly until SwitchAt.
	canarySlackShare = 0.7
)

// NewPlan returns the plan of a rollout that is to be complete within a duration.
func NewPlan(duration tiller.Millis) Plan {
	complete := max(duration-min(maxNoticeMillis, duration/noticeFraction)-writeMillis, 0)
	return Plan{SwitchAt: max(complete-switchMillis, 0), CompleteAt: complete, GiveUpAt: duration + giveUpMillis}
}

// ReleasedSlack returns the part of the slack, from 0 to 1, that may be used at a time since the start.
func (p Plan) ReleasedSlack(elapsed tiller.Millis) float64 {
	if elapsed >= p.SwitchAt {
		return 1
	}
	return canarySlackShare * float64(max(elapsed, 0)) / float64(p.SwitchAt)
}
