package carawaytiller

// RequestID identifies a caller's request. Callers choose it; it is unique per caller.
type RequestID string

// Query is one request of a caller to a service.
type Query struct {
	ID      RequestID
	Caller  string
	Service string
	// Route names the operation of the service, such as "search" or "print".
	Route string
	// Body is the JSON body that goes to the upstreams unchanged.
	Body []byte
	// Limit is the greatest number of items in the answer; 0 means the service's default.
	Limit int
	// Deadline is the point in time after which the answer has no use.
	Deadline Millis
	// NeededCoverage is the share of shards, from 0 to 1, below which the caller wants a refusal.
	// A negative value means the service's default.
	NeededCoverage float64
	// Repeatable says whether the request is idempotent, so that it may run more than once.
	Repeatable bool
	// Token is the single-use token of a request that is not repeatable.
	Token string
}

// WithDeadline returns a copy of q with the deadline d.
func (q Query) WithDeadline(d Millis) Query {
	q.Deadline = d
	return q
}

// WithNeededCoverage returns a copy of q that needs the share c of its shards.
func (q Query) WithNeededCoverage(c float64) Query {
	q.NeededCoverage = c
	return q
}
