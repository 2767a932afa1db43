package carawaytiller

// AttemptID identifies one request of a daemon to an upstream. It is never used again by that process.
type AttemptID uint64

// SearchRequest is one request to an upstream for some shards of one snapshot.
type SearchRequest struct {
	ID       RequestID
	Attempt  AttemptID
	Service  string
	Snapshot string
	Shards   []string
	Route    string
	Body     []byte
	Limit    int
	// Deadline is the point in time after which the response has no use.
	Deadline Millis
}

// SearchResponse is an upstream's response to a SearchRequest. It echoes request, attempt and snapshot.
type SearchResponse struct {
	ID       RequestID
	Attempt  AttemptID
	Snapshot string
	Shards   []ShardItems
	// Incarnation grows each time the upstream process starts.
	Incarnation int64
	// Cold says that the upstream reports itself in cold start.
	Cold bool
}

// ShardItems holds the results of one shard.
type ShardItems struct {
	Shard string
	Items []Item
}
