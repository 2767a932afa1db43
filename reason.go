package carawaytiller

// Reason states why a request was refused, retried or cancelled, or why a shard is missing.
// Reasons are a closed set, and each has a counter.
type Reason string

// Reasons for refusals to callers.
const (
	ReasonBadRequest       Reason = "BadRequest"
	ReasonUnknownService   Reason = "UnknownService"
	ReasonUnknownRoute     Reason = "UnknownRoute"
	ReasonTooLarge         Reason = "TooLarge"         // the request body exceeds the limit
	ReasonTooSlow          Reason = "TooSlow"          // the request body could not be read in time
	ReasonDeadlinePast     Reason = "DeadlinePast"     // the deadline has already passed
	ReasonDeadlineTooShort Reason = "DeadlineTooShort" // too little time is left to answer before the deadline
	ReasonQueueFull        Reason = "QueueFull"
	ReasonQueueTimeout     Reason = "QueueTimeout" // no capacity became free in time
	ReasonCoverageTooLow   Reason = "CoverageTooLow"
	ReasonHarmful          Reason = "Harmful"       // upstreams were lost while they ran this request
	ReasonCutOff           Reason = "CutOff"        // this daemon reaches too few daemons and upstreams
	ReasonNoOwner          Reason = "NoOwner"       // no daemon that owns the query was found
	ReasonNotOwner         Reason = "NotOwner"      // this daemon does not own the query
	ReasonOwnerLost        Reason = "OwnerLost"     // the connection to the owner was lost after the query was forwarded
	ReasonStopping         Reason = "Stopping"      // the daemon is shutting down
	ReasonNotReady         Reason = "NotReady"      // the daemon has no configuration, or the service no current snapshot
	ReasonDuplicateID      Reason = "DuplicateID"   // a request with this identifier is in flight
	ReasonTokenRequired    Reason = "TokenRequired" // a request that is not repeatable has no token
	ReasonTokenUnknown     Reason = "TokenUnknown"  // the token is malformed, unknown or has expired
	ReasonTokenExpired     Reason = "TokenExpired"
	ReasonTokenIssuerGone  Reason = "TokenIssuerGone" // the process that issued the token cannot be reached
	ReasonTokenInUse       Reason = "TokenInUse"      // the outcome of the request with this token is not known yet
	ReasonCancelled        Reason = "Cancelled"
	ReasonInternal         Reason = "Internal"
)

// Reasons for failed, additional and cancelled attempts, and for missing shards.
const (
	ReasonTimeout        Reason = "Timeout"
	ReasonShed           Reason = "Shed"       // the upstream rejected the request without running it
	ReasonDraining       Reason = "Draining"   // the upstream is draining
	ReasonNoSnapshot     Reason = "NoSnapshot" // the upstream does not hold the snapshot
	ReasonNoShard        Reason = "NoShard"    // the upstream does not hold the shard
	ReasonNoUpstream     Reason = "NoUpstream" // no upstream can serve the shard
	ReasonUpstreamError  Reason = "UpstreamError"
	ReasonLimited        Reason = "Limited" // the upstreams take no more requests now, by the limit that they named
	ReasonConnectFailed  Reason = "ConnectFailed"
	ReasonConnectionLost Reason = "ConnectionLost"
	ReasonSilent         Reason = "Silent"       // the connection stopped responding
	ReasonMismatch       Reason = "Mismatch"     // the response is invalid or does not belong to the request
	ReasonLeaseExpired   Reason = "LeaseExpired" // the daemon's lease ended before the request was sent completely
	ReasonRetryBudget    Reason = "RetryBudget"  // the retry budget is exhausted
	ReasonHedgeLost      Reason = "HedgeLost"    // another attempt answered first
	ReasonHedge          Reason = "Hedge"        // an additional request was sent because the first one was slow
	ReasonMisdirected    Reason = "Misdirected"  // the address belongs to another upstream process
	ReasonMemoryLimit    Reason = "MemoryLimit"  // the response was cut off to keep within the memory limit
)

// Reasons returns every Reason.
func Reasons() []Reason {
	return []Reason{
		ReasonBadRequest, ReasonUnknownService, ReasonUnknownRoute, ReasonTooLarge, ReasonTooSlow, ReasonDeadlinePast, ReasonDeadlineTooShort,
		ReasonQueueFull, ReasonQueueTimeout, ReasonCoverageTooLow, ReasonHarmful, ReasonCutOff,
		ReasonNoOwner, ReasonNotOwner, ReasonOwnerLost, ReasonStopping, ReasonNotReady,
		ReasonDuplicateID, ReasonTokenRequired, ReasonTokenUnknown, ReasonTokenExpired,
		ReasonTokenIssuerGone, ReasonTokenInUse, ReasonCancelled, ReasonInternal,
		ReasonTimeout, ReasonShed, ReasonLimited, ReasonDraining, ReasonNoSnapshot, ReasonNoShard,
		ReasonNoUpstream, ReasonUpstreamError, ReasonConnectFailed, ReasonConnectionLost,
		ReasonSilent, ReasonMismatch, ReasonLeaseExpired, ReasonRetryBudget, ReasonHedgeLost, ReasonHedge, ReasonMisdirected,
		ReasonMemoryLimit,
	}
}
