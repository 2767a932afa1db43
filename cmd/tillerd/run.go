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
	"github.com/carawaytiller/carawaytiller/joiner"
	"github.com/carawaytiller/carawaytiller/messenger"
)

const runDescription = `Runs the daemon until it gets SIGTERM or SIGINT, which is a planned stop: it finishes what it accepted, for at most StopMillis of the settings.

A daemon without a Seat in its settings claims one in the platform's store and follows the document there. A daemon with a Seat has no peers and needs --document.`

// maxDrainMillis is the upper bound of the drain phase of a planned stop, in which load balancers can
// notice that the daemon is stopping.
const maxDrainMillis = 2 * tiller.Second

// runCommand is the sub-command run.
type runCommand struct {
	program  *program
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"Settings of the daemon"`
	Document string `long:"document" value-name:"FILE" description:"Document of the operators, for a daemon without peers"`
}

// Execute reads the files and runs the daemon until the program's context ends.
func (c *runCommand) Execute([]string) error {
	settings, doc, err := c.read()
	if err != nil {
		return err
	}
	log, err := c.program.newLogger(settings.LogLevel)
	if err != nil {
		return err
	}
	log = log.WithValues("VM", settings.Name)
	if settings.Seat == nil {
		return c.runMember(settings, log)
	}
	return c.runAlone(settings, doc, log)
}

// read reads the settings and, if given, the document. It prints their faults and returns errFaulty when there are any.
func (c *runCommand) read() (decoder.Settings, *tiller.Document, error) {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return decoder.Settings{}, nil, fmt.Errorf("read settings: %w", err)
	}
	settings, faults := decoder.DecodeSettings(c.Settings, text)
	var doc *tiller.Document
	if c.Document != "" {
		text, err := os.ReadFile(c.Document)
		if err != nil {
			return decoder.Settings{}, nil, fmt.Errorf("read document: %w", err)
		}
		decoded, documentFaults := decoder.DecodeDocument(c.Document, text)
		doc = decoded
		faults = append(faults, documentFaults...)
	}
	for _, f := range faults {
		fmt.Fprintln(c.program.stdout, f)
	}
	if len(faults) > 0 {
		return decoder.Settings{}, nil, errFaulty
	}
	return settings, doc, nil
}

// runMember runs a daemon with peers, which claims its seat in the platform's store.
func (c *runCommand) runMember(s decoder.Settings, log logr.Logger) error {
	if s.CertificateFile == "" {
		return errors.New("a daemon with peers needs CertificateFile, KeyFile and AuthorityFile")
	}
	if c.Document != "" {
		return errors.New("a daemon with peers takes its document from the store, not from --document")
	}
	keys, err := messenger.LoadKeys(messenger.KeyFiles{
		Authority: s.AuthorityFile, Certificate: s.CertificateFile, Key: s.KeyFile,
	})
	if err != nil {
		return err
	}
	m, err := joiner.Start(joiner.Config{
		Clock:             tiller.SystemClock(),
		Logger:            log,
		Name:              s.Name,
		Domain:            s.Domain,
		Environment:       s.Environment,
		CallerAddress:     s.CallerAddress,
		OperatorAddress:   s.OperatorAddress,
		PeerAddress:       s.PeerAddress,
		PlatformAddresses: s.PlatformAddresses,
		Keys:              keys,
		DrainMillis:       drainMillis(s),
	})
	if err != nil {
		return err
	}
	logServing(log, m.Daemon())
	<-c.program.ctx.Done()
	ctx, cancel := context.WithTimeout(context.Background(), s.StopMillis.Duration())
	defer cancel()
	return m.Stop(ctx)
}

// runAlone runs a daemon without peers, whose seat is set in its settings.
func (c *runCommand) runAlone(s decoder.Settings, doc *tiller.Document, log logr.Logger) error {
	switch {
	case doc == nil:
		return errors.New("a daemon with a Seat in its settings needs --document")
	case s.Environment != doc.Environment:
		return fmt.Errorf("the settings are for environment %q, the document for %q", s.Environment, doc.Environment)
	case doc.Seats != 1:
		// Without leases, each of several daemons would use the full capacity of every upstream.
		return fmt.Errorf("a daemon without peers needs a document with one seat, got %d seats", doc.Seats)
	}
	d, err := assembler.New(assembler.Config{
		Clock:           tiller.SystemClock(),
		Logger:          log,
		CallerAddress:   s.CallerAddress,
		OperatorAddress: s.OperatorAddress,
		DrainMillis:     drainMillis(s),
	})
	if err != nil {
		return err
	}
	d.TakeSeat(*s.Seat, 1)
	if err := d.Apply(doc); err != nil {
		d.Close()
		return err
	}
	logServing(log, d)
	<-c.program.ctx.Done()
	ctx, cancel := context.WithTimeout(context.Background(), s.StopMillis.Duration())
	defer cancel()
	return d.Stop(ctx)
}

// drainMillis returns a tenth of StopMillis, at most maxDrainMillis.
func drainMillis(s decoder.Settings) tiller.Millis {
	return min(s.StopMillis/10, maxDrainMillis)
}

func logServing(log logr.Logger, d *assembler.Daemon) {
	log.Info("serving", "Callers", d.CallerAddress(), "Operators", d.OperatorAddress())
}
