package carawaytiller

// Move shifts the traffic of a service from one upstream version to another.
type Move struct {
	// Name is unique within the environment.
	Name    string
	Service string
	From    string
	To      string
	// StartAt and FinishBy are points in time in milliseconds since the Unix epoch.
	StartAt  Millis
	FinishBy Millis
	// CanaryPercent bounds the share of queries for the new version before it has been judged; at most 5.
	CanaryPercent int
	// State is the final state, written once; empty while the move runs.
	State MoveState
}

// MoveState is the final state of a Move.
type MoveState string

// The final states. Neither ever changes again.
const (
	// MoveDone says that all traffic goes to the new version.
	MoveDone MoveState = "Done"
	// MoveTakenBack says that all traffic goes to the old version, because the new one showed a fault
	// or an operator cancelled the move.
	MoveTakenBack MoveState = "TakenBack"
)
