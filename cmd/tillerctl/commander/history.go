package commander

import (
	"context"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
)

// historyCommand shows the accepted changes of an environment.
type historyCommand struct {
	Env    string        `long:"env" choice:"trial" choice:"production" required:"yes" description:"environment"`
	Daemon daemonOptions `group:"Daemon Options"`
}

func (h *historyCommand) run(ctx context.Context, c *Commander) error {
	daemons, err := h.Daemon.daemons()
	if err != nil {
		return err
	}
	history, err := firstReply(ctx, daemons, h.ask)
	if err != nil {
		return err
	}
	for _, past := range history.Changes {
		c.print("%d\t%s\t%s\t%s\n", past.Revision, formatTime(tiller.Millis(past.AtMillis)), past.Operator, past.Operation)
	}
	return nil
}

// ask asks one daemon.
func (h *historyCommand) ask(ctx context.Context, d daemon) (*operator.History, error) {
	reply, err := d.History(ctx, operator.HistoryParams{Env: operator.HistoryEnv(h.Env)})
	if err != nil {
		return nil, errors.Wrap(err, "history")
	}
	switch r := reply.(type) {
	case *operator.History:
		return r, nil
	case *operator.ErrorStatusCode:
		return nil, refusal(r)
	}
	return nil, errors.Errorf("unexpected reply %T", reply)
}
