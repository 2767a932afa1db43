package commander

import (
	"context"

	"github.com/go-faster/errors"
)

// applyCommand replaces the document of an environment.
type applyCommand struct {
	Env    string        `long:"env" choice:"trial" choice:"production" required:"yes" description:"environment; it must be that of the document"`
	Change changeOptions `group:"Change Options"`
	Daemon daemonOptions `group:"Daemon Options"`
	Args   struct {
		File string `positional-arg-name:"FILE" description:"new document, - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (a *applyCommand) run(ctx context.Context, c *Commander) error {
	doc, text, err := c.readDocument(a.Args.File)
	if err != nil {
		return err
	}
	if doc.Environment != a.Env {
		return badInput(errors.Errorf("the document is for %s and not for %s", doc.Environment, a.Env))
	}
	daemons, err := a.Daemon.daemons()
	if err != nil {
		return err
	}
	current, err := getDocument(ctx, daemons, a.Env)
	if err != nil {
		return err
	}
	return c.submit(ctx, daemons, change{env: a.Env, options: a.Change, base: current, next: string(text)})
}
