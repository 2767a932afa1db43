package carawaytiller

// Move is a rollout: it shifts the traffic of a service from one upstream version to another.
type Move struct {
	// Name is unique within the environment.
	Name    string
	Service string
	From    string
	To      string
	// StartAt and FinishBy are points in time in milliseconds since the Unix epoch.
	StartAt  Millis
	FinishBy Millis
	// CanaryPercent is the maximum percentage of queries sent to the new version during the canary phase; at most 5.
	CanaryPercent int
	// State is the final state, written once; empty while the move is in progress.
	State MoveState
}

// MoveState is the final state of a Move.
type MoveState string

// The final states of a Move.
const (
	// MoveDone means that all traffic goes to the new version.
	MoveDone MoveState = "Done"
	// MoveTakenBack means that the move was rolled back: all traffic goes to the old version, because
	// the new version was faulty or an operator cancelled the move.
	MoveTakenBack MoveState = "TakenBack"
)
