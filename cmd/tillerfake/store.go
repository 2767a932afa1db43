package main

import (
	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/faker"
)

// rateOptions are the rate limits of a store.
type rateOptions struct {
	Writes int `long:"writes" value-name:"N" default:"400" description:"Greatest number of writes per second"`
	Reads  int `long:"reads" value-name:"N" default:"2000" description:"Greatest number of reads and watches per second"`
}

func (o rateOptions) settings() faker.StoreSettings {
	return faker.StoreSettings{WritesPerSecond: o.Writes, ReadsPerSecond: o.Reads}
}

// storeCommand is the sub-command store.
type storeCommand struct {
	program *program
	Address listenOptions  `group:"Address options"`
	Control controlOptions `group:"Control options"`
	Rates   rateOptions    `group:"Store options"`
}

// Execute runs the store until the program is interrupted.
func (c *storeCommand) Execute([]string) error {
	store, err := faker.NewStore(c.Rates.settings(), tiller.SystemClock())
	if err != nil {
		return errors.Wrap(err, "create store")
	}
	defer store.Close()
	address, err := store.Start(c.Address.Listen)
	if err != nil {
		return errors.Wrapf(err, "start store at %q", c.Address.Listen)
	}
	return c.program.serve(addresses{Store: address}, c.Control.Control, store.Control())
}
