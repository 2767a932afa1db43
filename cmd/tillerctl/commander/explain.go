package commander

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/api/operator"
)

// explainCommand shows what was decided for a request.
type explainCommand struct {
	Daemon daemonOptions `group:"Daemon Options"`
	Args   struct {
		ID string `positional-arg-name:"ID" description:"identifier of the request"`
	} `positional-args:"yes" required:"yes"`
}

func (e *explainCommand) run(ctx context.Context, c *Commander) error {
	daemons, err := e.Daemon.daemons()
	if err != nil {
		return err
	}
	explanation, err := firstReply(ctx, daemons, e.ask)
	if err != nil {
		return err
	}
	for _, d := range explanation.Decisions {
		c.print("%+d ms\t%s\t%s\t%s\n", d.AtMillis, d.What, d.Upstream.Or("-"), d.Reason.Or("-"))
	}
	return nil
}

// ask asks one daemon. Only the daemons that handled the request know of it.
func (e *explainCommand) ask(ctx context.Context, d daemon) (*operator.Explanation, error) {
	reply, err := d.Explain(ctx, operator.ExplainParams{ID: e.Args.ID})
	if err != nil {
		return nil, errors.Wrap(err, "explain")
	}
	switch r := reply.(type) {
	case *operator.Explanation:
		return r, nil
	case *operator.ErrorStatusCode:
		return nil, refusal(r)
	}
	return nil, errors.Errorf("unexpected reply %T", reply)
}
