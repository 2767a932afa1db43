package commander

import (
	"context"

	"github.com/carawaytiller/carawaytiller/decoder"
)

// checkCommand prints the faults of a file.
type checkCommand struct {
	Settings bool `long:"settings" description:"FILE holds the settings of a daemon and not a document"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"file to check, - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (k *checkCommand) run(_ context.Context, c *Commander) error {
	text, err := c.readFile(k.Args.File)
	if err != nil {
		return err
	}
	if k.Settings {
		_, faults := decoder.DecodeSettings(k.Args.File, text)
		return c.reportFaults(faults)
	}
	_, faults := decoder.DecodeDocument(k.Args.File, text)
	return c.reportFaults(faults)
}
