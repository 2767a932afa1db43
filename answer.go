package carawaytiller

// Item is one result. Its key is unique within a snapshot of a service.
type Item struct {
	Key   string
	Score float64
	// Body is the JSON body of the item, as the upstream sent it.
	Body []byte
}

// Answer is the merged result of a query.
type Answer struct {
	ID       RequestID
	Service  string
	Snapshot string
	Coverage Coverage
	// Items are sorted by descending score, then by key.
	Items []Item
}

// Coverage states which of a service's shards contributed to an answer.
type Coverage struct {
	// Asked is the number of shards of the snapshot.
	Asked int
	// Answered is the number of shards whose results are in the answer.
	Answered int
	// Missing lists the shards without a result, sorted by name.
	Missing []MissingShard
}

// MissingShard is a shard without a result, with the reason.
type MissingShard struct {
	Shard  string
	Reason Reason
}

// Share returns the fraction of the asked shards that answered, from 0 to 1. It is 0 when no shard was asked.
func (c Coverage) Share() float64 {
	if c.Asked == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Asked)
}

// Refusal is returned to a caller in place of an answer.
type Refusal struct {
	ID      RequestID
	Verdict Verdict
	Reason  Reason
	// RetryAfter is how long the caller should wait before a retry; 0 means no wait is needed.
	RetryAfter Millis
	// Detail is a human-readable explanation of the reason.
	Detail string
	// Owner is the seat (daemon number) that owns the query when Reason is ReasonNotOwner; -1 when unknown.
	Owner int
	// Coverage is the coverage reached when the query was refused.
	Coverage Coverage
}

// Result is the outcome of a query: exactly one of Answer and Refusal is set.
type Result struct {
	Answer  *Answer
	Refusal *Refusal
}
