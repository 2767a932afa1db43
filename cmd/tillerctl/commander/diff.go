package commander

import (
	"context"

	"github.com/carawaytiller/carawaytiller/decoder"
)

// diffCommand prints the differences between two documents.
type diffCommand struct {
	Args struct {
		Old string `positional-arg-name:"OLD" description:"document, - for standard input"`
		New string `positional-arg-name:"NEW" description:"document"`
	} `positional-args:"yes" required:"yes"`
}

func (d *diffCommand) run(_ context.Context, c *Commander) error {
	old, _, err := c.readDocument(d.Args.Old)
	if err != nil {
		return err
	}
	next, _, err := c.readDocument(d.Args.New)
	if err != nil {
		return err
	}
	for _, change := range decoder.Diff(old, next) {
		c.print("%s\n", change)
	}
	return nil
}
