package cataloger

// Bounds are limits on extra load that hold for the fleet as a whole.
type Bounds struct {
	// RetryRatio and RetrySlack limit the extra requests to one service to RetryRatio per request plus
	// RetrySlack.
	RetryRatio float64
	RetrySlack float64
	// ColdOverage and ColdSlack limit the rate of requests to a cold upstream to ColdOverage times
	// Service.WarmupPerSecond plus ColdSlack, in requests per second.
	ColdOverage float64
	ColdSlack   float64
	// CanaryShare and CanarySlack limit the requests to a new version whose rollout is not decided to
	// CanaryShare, from 0 to 1, of the service's requests plus CanarySlack.
	CanaryShare float64
	CanarySlack float64
}
