package reducer

// Names of the counters of Count effects. Each is counted by reason.
const (
	// CountRefusal counts queries refused.
	CountRefusal = "refusal"
	// CountAnswer counts queries answered; the label is empty for a complete answer.
	CountAnswer = "answer"
	// CountAttempt counts first requests to upstreams.
	CountAttempt = "attempt"
	// CountCanary counts canaries among the requests to upstreams.
	CountCanary = "canary"
	// CountRetry counts requests sent again, by the reason of the failure.
	CountRetry = "retry"
	// CountRetryDenied counts failed requests that were not sent again at once or at all.
	CountRetryDenied = "retry_denied"
	// CountHedge counts hedged requests.
	CountHedge = "hedge"
	// CountCancellation counts attempts cancelled.
	CountCancellation = "cancellation"
	// CountFailure counts attempts that failed.
	CountFailure = "failure"
	// CountDropped counts responses and shards of responses that nothing waited for.
	CountDropped = "response_dropped"
	// CountMismatched counts responses that did not echo their request.
	CountMismatched = "response_mismatched"
	// CountRedirect counts queries sent on to another daemon after the first one.
	CountRedirect = "redirect"
	// CountRerun counts queries begun again on another snapshot.
	CountRerun = "rerun"
	// CountBlocked counts digests blocked.
	CountBlocked = "digest_blocked"
	// CountRestart counts signs that an upstream restarted.
	CountRestart = "upstream_restart"
	// CountFault counts faults of new versions found here.
	CountFault = "rollout_fault"
	// CountStaleDocument counts documents ignored for their revision.
	CountStaleDocument = "document_stale"
)
