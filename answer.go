package carawaytiller

// Item is one result. Keys are unique within a snapshot of a service.
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
	// Items are ordered by falling score, then by key.
	Items []Item
}

// Coverage states which part of a service's shards an answer covers.
type Coverage struct {
	// Asked is the number of shards of the snapshot.
	Asked int
	// Answered is the number of shards whose results are in the answer.
	Answered int
	// Missing lists the shards without a result, ordered by name.
	Missing []MissingShard
}

// MissingShard is a shard without a result, and why.
type MissingShard struct {
	Shard  string
	Reason Reason
}

// Share returns the answered share of the shards asked, from 0 to 1.
func (c Coverage) Share() float64 {
	if c.Asked == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Asked)
}

// Refusal tells a caller that its query has no answer.
type Refusal struct {
	ID      RequestID
	Verdict Verdict
	Reason  Reason
	// RetryAfter is how long the caller should wait before it asks again; 0 means it need not wait.
	RetryAfter Millis
	// Detail explains the reason to a person.
	Detail string
	// Owner is the seat to ask instead, when Reason is ReasonNotOwner; -1 when unknown.
	Owner int
	// Coverage is what had been answered when the query was refused.
	Coverage Coverage
}

// Result is the outcome of a query: exactly one of Answer and Refusal is set.
type Result struct {
	Answer  *Answer
	Refusal *Refusal
}
