package carawaytiller

// Reason names why a request was refused, retried, cancelled, or why a shard is missing.
// The list is closed; each reason has a counter.
type Reason string

// Reasons of refusals to callers.
const (
	ReasonBadRequest       Reason = "BadRequest"
	ReasonUnknownService   Reason = "UnknownService"
	ReasonUnknownRoute     Reason = "UnknownRoute"
	ReasonTooLarge         Reason = "TooLarge"
	ReasonTooSlow          Reason = "TooSlow"
	ReasonDeadlinePast     Reason = "DeadlinePast"
	ReasonDeadlineTooShort Reason = "DeadlineTooShort"
	ReasonQueueFull        Reason = "QueueFull"
	ReasonQueueTimeout     Reason = "QueueTimeout"
	ReasonCoverageTooLow   Reason = "CoverageTooLow"
	ReasonHarmful          Reason = "Harmful"
	ReasonNoOwner          Reason = "NoOwner"
	ReasonNotOwner         Reason = "NotOwner"
	ReasonOwnerLost        Reason = "OwnerLost"
	ReasonStopping         Reason = "Stopping"
	ReasonNotReady         Reason = "NotReady"
	ReasonDuplicateID      Reason = "DuplicateID"
	ReasonTokenRequired    Reason = "TokenRequired"
	ReasonTokenUnknown     Reason = "TokenUnknown"
	ReasonTokenExpired     Reason = "TokenExpired"
	ReasonTokenIssuerGone  Reason = "TokenIssuerGone"
	ReasonTokenInUse       Reason = "TokenInUse"
	ReasonCancelled        Reason = "Cancelled"
	ReasonInternal         Reason = "Internal"
)

// Reasons of failed attempts and of missing shards.
const (
	ReasonTimeout        Reason = "Timeout"
	ReasonShed           Reason = "Shed"
	ReasonDraining       Reason = "Draining"
	ReasonNoSnapshot     Reason = "NoSnapshot"
	ReasonNoShard        Reason = "NoShard"
	ReasonNoUpstream     Reason = "NoUpstream"
	ReasonUpstreamError  Reason = "UpstreamError"
	ReasonConnectFailed  Reason = "ConnectFailed"
	ReasonConnectionLost Reason = "ConnectionLost"
	ReasonSilent         Reason = "Silent"
	ReasonMismatch       Reason = "Mismatch"
	ReasonLeaseExpired   Reason = "LeaseExpired"
	ReasonRetryBudget    Reason = "RetryBudget"
	ReasonHedgeLost      Reason = "HedgeLost"
	ReasonHedge          Reason = "Hedge"
	ReasonMisdirected    Reason = "Misdirected"
)

// Reasons returns every Reason of the closed list.
func Reasons() []Reason {
	return []Reason{
		ReasonBadRequest, ReasonUnknownService, ReasonUnknownRoute, ReasonTooLarge, ReasonTooSlow, ReasonDeadlinePast, ReasonDeadlineTooShort,
		ReasonQueueFull, ReasonQueueTimeout, ReasonCoverageTooLow, ReasonHarmful,
		ReasonNoOwner, ReasonNotOwner, ReasonOwnerLost, ReasonStopping, ReasonNotReady,
		ReasonDuplicateID, ReasonTokenRequired, ReasonTokenUnknown, ReasonTokenExpired,
		ReasonTokenIssuerGone, ReasonTokenInUse, ReasonCancelled, ReasonInternal,
		ReasonTimeout, ReasonShed, ReasonDraining, ReasonNoSnapshot, ReasonNoShard,
		ReasonNoUpstream, ReasonUpstreamError, ReasonConnectFailed, ReasonConnectionLost,
		ReasonSilent, ReasonMismatch, ReasonLeaseExpired, ReasonRetryBudget, ReasonHedgeLost, ReasonHedge, ReasonMisdirected,
	}
}
