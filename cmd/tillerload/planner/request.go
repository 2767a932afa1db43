package planner

import "time"

// Kind is a kind of query.
type Kind string

// The kinds of queries.
const (
	// Search is a search over a service on at most two upstreams.
	Search Kind = "search"
	// Wide is a search over a service on more upstreams.
	Wide Kind = "wide"
	// Print is a request with a single-use token, which must run at most once.
	Print Kind = "print"
	// Poison is a search that crashes each upstream that runs it.
	Poison Kind = "poison"
)

// Request is one query of a load.
type Request struct {
	// At is the intended start.
	At      time.Duration
	ID      string
	Kind    Kind
	Caller  string
	Service string
	Route   string
	// Body is a sampler.Request in JSON.
	Body []byte
	// Daemon is a random number that decides which daemon is asked, Issuer which one issues the token.
	Daemon, Issuer int
	// Resend says that the request is sent once more after its outcome, under the same identifier and token.
	Resend bool
}

// Repeatable says whether the request may run more than once.
func (r Request) Repeatable() bool { return r.Kind != Print }
