package assembler

import (
	"context"

	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// Config holds the settings and dependencies of a Daemon. Clock, Logger and both addresses are required.
type Config struct {
	Clock  tiller.Clock
	Logger logr.Logger
	// CallerAddress and OperatorAddress are the addresses to listen on; port 0 takes a free one.
	CallerAddress   string
	OperatorAddress string
	// DrainMillis is the drain period at the start of a planned stop: the daemon still accepts new
	// requests, while /readyz fails and callers are asked to close their connections.
	DrainMillis tiller.Millis
	// Peers connects the daemon to its peers. When nil, the daemon owns every unit.
	Peers *Peers
	// KnowledgeAge returns the time since the revision in force was last confirmed, or -1 when it was
	// never confirmed. When nil, the time since the revision was applied is reported.
	KnowledgeAge func() tiller.Millis
	// Unready returns an additional reason why the daemon takes no new work, or "" when there is none. It may be nil.
	Unready func() string
	// GetDocument, PutDocument and History access the stored document. They are nil when there is no store.
	GetDocument func(ctx context.Context, env string) (*operator.StoredDocument, error)
	PutDocument func(ctx context.Context, env string, change *operator.Change) (*operator.Accepted, error)
	History     func(ctx context.Context, env string) (*operator.History, error)
}

// Peers holds the functions with which a daemon reaches its peers. Forward and SendLease are required.
type Peers struct {
	// Forward sends a query to a peer and waits for the result.
	Forward func(context.Context, reducer.Forward) (tiller.Result, error)
	// SendLease sends a lease protocol message without blocking.
	SendLease func(reducer.SendLease)
	// Announce publishes a fact to all daemons without blocking.
	Announce func(reducer.Announce)
	// FinishMove starts writing the final state of a rollout to the stored document.
	FinishMove func(reducer.FinishMove)
	// PropagationMillis bounds the time until a new document is in force on every daemon; 0 means the
	// bound for the target size.
	PropagationMillis tiller.Millis
}

// withDefaults returns a copy of c in which the functions that access the stored document are set.
func (c Config) withDefaults() Config {
	if c.GetDocument == nil {
		c.GetDocument = func(context.Context, string) (*operator.StoredDocument, error) {
			return nil, errNoStore
		}
	}
	if c.PutDocument == nil {
		c.PutDocument = func(context.Context, string, *operator.Change) (*operator.Accepted, error) {
			return nil, errNoStore
		}
	}
	if c.History == nil {
		c.History = func(context.Context, string) (*operator.History, error) { return nil, errNoStore }
	}
	return c
}
