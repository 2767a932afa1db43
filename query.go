package carawaytiller

// RequestID identifies a request. The caller chooses it; it is unique per caller.
type RequestID string

// Query is one request from a caller to a service.
type Query struct {
	ID      RequestID
	Caller  string
	Service string
	// Route names the operation of the service, such as "search" or "print".
	Route string
	// Body is the JSON body, which is passed to the upstreams unchanged.
	Body []byte
	// Limit is the maximum number of items in the answer; 0 means the service's default.
	Limit int
	// Deadline is the point in time after which the caller no longer needs the answer.
	Deadline Millis
	// NeededCoverage is the minimum fraction of shards, from 0 to 1. A query with less is refused.
	// A negative value means the service's default.
	NeededCoverage float64
	// Repeatable is set when the request is idempotent and may run more than once.
	Repeatable bool
	// Token is the single-use token that a request needs when it is not repeatable.
	Token string
}

// WithDeadline returns a copy of q with the deadline d.
func (q Query) WithDeadline(d Millis) Query {
	q.Deadline = d
	return q
}

// WithNeededCoverage returns a copy of q with the minimum coverage c.
func (q Query) WithNeededCoverage(c float64) Query {
	q.NeededCoverage = c
	return q
}
