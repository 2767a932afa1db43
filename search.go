package carawaytiller

// AttemptID identifies one request from a daemon to an upstream. A process never reuses it.
type AttemptID uint64

// SearchRequest is one request to an upstream for one or more shards of a snapshot.
type SearchRequest struct {
	ID       RequestID
	Attempt  AttemptID
	Service  string
	Snapshot string
	Shards   []string
	Route    string
	Body     []byte
	Limit    int
	// Deadline is the point in time after which the response is no longer needed.
	Deadline Millis
}

// SearchResponse is an upstream's response to a SearchRequest. It repeats the request's ID, Attempt and Snapshot.
type SearchResponse struct {
	ID       RequestID
	Attempt  AttemptID
	Snapshot string
	Shards   []ShardItems
	// Incarnation increases with each start of the upstream process.
	Incarnation int64
	// Cold is set while the upstream reports a cold start.
	Cold bool
}

// ShardItems holds the results of one shard.
type ShardItems struct {
	Shard string
	Items []Item
}
