package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/assembler"
	"github.com/carawaytiller/carawaytiller/decoder"
)

const runDescription = `Runs the daemon until it gets SIGTERM or SIGINT, which is a planned stop: it finishes what it accepted, for at most StopMillis of the settings.`

// greatestDrainMillis bounds the part of a planned stop that lets load balancers notice.
const greatestDrainMillis = 2 * tiller.Second

// runCommand runs the daemon.
type runCommand struct {
	program  *program
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"Settings of the daemon"`
	Document string `long:"document" value-name:"FILE" required:"yes" description:"Document of the operators"`
}

// Execute runs the daemon.
func (c *runCommand) Execute([]string) error {
	settings, doc, err := c.read()
	if err != nil {
		return err
	}
	log, err := c.program.newLogger(settings.LogLevel)
	if err != nil {
		return err
	}
	cfg, err := daemonConfig(settings, doc, log)
	if err != nil {
		return err
	}
	d, err := assembler.New(cfg)
	if err != nil {
		return err
	}
	d.TakeSeat(*settings.Seat, 1)
	if err := d.Apply(doc); err != nil {
		d.Close()
		return err
	}
	log.Info("serving", "Callers", d.CallerAddress(), "Operators", d.OperatorAddress())
	<-c.program.ctx.Done()
	ctx, cancel := context.WithTimeout(context.Background(), settings.StopMillis.Duration())
	defer cancel()
	return d.Stop(ctx)
}

// read reads settings and document. It prints the faults of both and returns errFaulty when there are any.
func (c *runCommand) read() (decoder.Settings, *tiller.Document, error) {
	settingsText, err := os.ReadFile(c.Settings)
	if err != nil {
		return decoder.Settings{}, nil, fmt.Errorf("settings: %w", err)
	}
	documentText, err := os.ReadFile(c.Document)
	if err != nil {
		return decoder.Settings{}, nil, fmt.Errorf("document: %w", err)
	}
	settings, faults := decoder.DecodeSettings(c.Settings, settingsText)
	doc, documentFaults := decoder.DecodeDocument(c.Document, documentText)
	faults = append(faults, documentFaults...)
	for _, f := range faults {
		fmt.Fprintln(c.program.stdout, f)
	}
	if len(faults) > 0 {
		return decoder.Settings{}, nil, errFaulty
	}
	return settings, doc, nil
}

// daemonConfig returns the configuration of a daemon without peers.
func daemonConfig(s decoder.Settings, doc *tiller.Document, log logr.Logger) (assembler.Config, error) {
	switch {
	case s.Environment != doc.Environment:
		return assembler.Config{}, fmt.Errorf("the settings are for %s and the document for %s", s.Environment, doc.Environment)
	case s.Seat == nil:
		return assembler.Config{}, errors.New("the settings have no Seat, and seats cannot be claimed yet")
	case doc.Seats != 1:
		// Without leases each of several daemons would take the whole capacity of every upstream for its own.
		return assembler.Config{}, errors.New("a daemon without peers needs a document with one seat")
	}
	return assembler.Config{
		Clock:           tiller.SystemClock(),
		Logger:          log.WithValues("Name", s.Name),
		CallerAddress:   s.CallerAddress,
		OperatorAddress: s.OperatorAddress,
		DrainMillis:     min(s.StopMillis/10, greatestDrainMillis),
	}, nil
}
