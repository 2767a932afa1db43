package assembler

import (
	"context"

	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// Config holds what a Daemon depends on. Clock, Logger and the addresses are required.
type Config struct {
	Clock  tiller.Clock
	Logger logr.Logger
	// CallerAddress and OperatorAddress are the addresses to listen on; port 0 takes a free one.
	CallerAddress   string
	OperatorAddress string
	// DrainMillis is the part of a planned stop for which the daemon still takes new work, while
	// /readyz fails and callers are asked to close their connections.
	DrainMillis tiller.Millis
	// Peers connects the daemon with others; nil makes it the owner of everything.
	Peers *Peers
	// KnowledgeAge returns the time since the revision in force was last confirmed, -1 when it never was;
	// nil means since it was applied.
	KnowledgeAge func() tiller.Millis
	// Unready returns a further reason why the daemon takes no new work, empty when there is none; nil means none.
	Unready func() string
	// GetDocument, PutDocument and History reach the stored document; nil when there is no store.
	GetDocument func(ctx context.Context, env string) (*operator.StoredDocument, error)
	PutDocument func(ctx context.Context, env string, change *operator.Change) (*operator.Accepted, error)
	History     func(ctx context.Context, env string) (*operator.History, error)
}

// Peers is how a daemon reaches the others. Forward and SendLease are required.
type Peers struct {
	// Forward passes a query to a peer and waits for the result.
	Forward func(context.Context, reducer.Forward) (tiller.Result, error)
	// SendLease sends a message of the lease protocol without blocking.
	SendLease func(reducer.SendLease)
	// Announce makes a fact known to all daemons without blocking.
	Announce func(reducer.Announce)
	// FinishMove starts to write the final state of a rollout to the stored document.
	FinishMove func(reducer.FinishMove)
	// PropagationMillis is the time within which a document is in force everywhere; 0 means the bound
	// of the target size.
	PropagationMillis tiller.Millis
}

// withDefaults returns a copy of c whose optional fields are set.
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
