package reducer

// The counter names of Count effects. The label of a counter is a reason, or empty.
const (
	// CountRefusal counts queries refused.
	CountRefusal = "refusal"
	// CountAnswer counts queries answered; the label is empty for a complete answer.
	CountAnswer = "answer"
	// CountAttempt counts attempts that are neither retries nor hedged requests.
	CountAttempt = "attempt"
	// CountCanary counts attempts sent as canaries. They are also counted as attempts, retries or hedged requests.
	CountCanary = "canary"
	// CountRetry counts retries, by the reason of the failure.
	CountRetry = "retry"
	// CountRetryDenied counts retries held back by the retry budget, and shards of failed attempts that are not retried.
	CountRetryDenied = "retry_denied"
	// CountHedge counts hedged requests.
	CountHedge = "hedge"
	// CountCancellation counts attempts cancelled.
	CountCancellation = "cancellation"
	// CountFailure counts attempts that failed.
	CountFailure = "failure"
	// CountDropped counts replies and failures of attempts and forwards that had already ended, and shards of
	// responses that another attempt had answered.
	CountDropped = "response_dropped"
	// CountMismatched counts responses that did not match their request.
	CountMismatched = "response_mismatched"
	// CountRedirect counts forwarded queries for which another daemon is tried, by the reason.
	CountRedirect = "redirect"
	// CountRerun counts queries restarted on another snapshot.
	CountRerun = "rerun"
	// CountBlocked counts digests blocked.
	CountBlocked = "digest_blocked"
	// CountRestart counts indications that an upstream restarted.
	CountRestart = "upstream_restart"
	// CountFault counts faults of new versions that this daemon found.
	CountFault = "rollout_fault"
	// CountStaleDocument counts documents that were ignored because their revision was not newer.
	CountStaleDocument = "document_stale"
)
