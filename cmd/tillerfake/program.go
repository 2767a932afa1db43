package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"

	"github.com/carawaytiller/carawaytiller/faker"
)

// program holds the state that the sub-commands share.
type program struct {
	ctx    context.Context
	stdout io.Writer
	log    logr.Logger
}

// addresses is the JSON object printed on standard output. It omits fakes that are not running.
type addresses struct {
	// Platform is the address that serves both the store and the list of VMs, set by the sub-command all.
	Platform  string            `json:",omitempty"`
	Store     string            `json:",omitempty"`
	VMs       string            `json:",omitempty"`
	Upstreams map[string]string `json:",omitempty"`
	Control   string
}

// controlOptions are the options that every sub-command has.
type controlOptions struct {
	Control string `long:"control" value-name:"IP:PORT" default:"127.0.0.1:0" description:"Loopback address of the control handler; port 0 takes a free one"`
}

// listenOptions are the options of the sub-commands that run one fake.
type listenOptions struct {
	Listen string `long:"listen" value-name:"IP:PORT" default:"127.0.0.1:0" description:"Loopback address of the fake; port 0 takes a free one"`
}

func (p *program) parser() *flags.Parser {
	parser := flags.NewNamedParser("tillerfake", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	add := func(name, short string, command flags.Commander) {
		if _, err := parser.AddCommand(name, short, short+".", command); err != nil {
			panic(err) // The option tags of the command are wrong.
		}
	}
	add("store", "Run a key-value store", &storeCommand{program: p})
	add("vms", "Run a list of VMs", &vmsCommand{program: p})
	add("upstream", "Run an upstream", &upstreamCommand{program: p})
	add("all", "Run the platform and every upstream of a document", &allCommand{program: p})
	return parser
}

// serve starts the control handler at address, prints the addresses and waits until the program's context ends.
func (p *program) serve(a addresses, address string, control http.Handler) error {
	endpoint := faker.NewEndpoint(control)
	defer endpoint.Close()
	var err error
	a.Control, err = endpoint.Start(address)
	if err != nil {
		return errors.Wrapf(err, "start control endpoint at %q", address)
	}
	if err := json.NewEncoder(p.stdout).Encode(a); err != nil {
		return errors.Wrap(err, "write addresses")
	}
	p.log.Info("started", "addresses", a)
	<-p.ctx.Done()
	p.log.Info("stopped")
	return nil
}
