package cataloger

import tiller "github.com/carawaytiller/carawaytiller"

// Rollout is the operators' order to move a service to a new version of its upstreams.
type Rollout struct {
	Service string
	// Target is the version to move to. Its upstreams run beside those of other versions.
	Target string
	// Duration is the time from the order within which the rollout must end.
	Duration tiller.Millis
	// Revision is the revision of the store at which the order was given. It tells apart successive orders
	// for a service.
	Revision int64
}

// RolloutState is the state of a rollout.
type RolloutState uint8

// The states of a rollout. Completed and RolledBack are final.
const (
	// RolloutRunning means that the new version gets canary requests only.
	RolloutRunning RolloutState = iota
	// RolloutSwitching means that the new version was found good and gets requests as far as the fleet's
	// allowance goes, shortly before the old version is stopped.
	RolloutSwitching
	// RolloutCompleted means that the new version serves and the old one is stopped.
	RolloutCompleted
	// RolloutRolledBack means that the new version gets no requests.
	RolloutRolledBack
)

// IsFinal reports whether a rollout in this state is decided.
func (s RolloutState) IsFinal() bool { return s >= RolloutCompleted }

func (s RolloutState) String() string {
	return [...]string{"Running", "Switching", "Completed", "RolledBack"}[s]
}

// RolloutStatus is the published result of a rollout.
type RolloutStatus struct {
	Service string
	Target  string
	State   RolloutState
	// Revision is the revision of the store at which the status was written.
	Revision int64
}
