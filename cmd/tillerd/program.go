package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"runtime/debug"
	"strings"

	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"

	"github.com/carawaytiller/carawaytiller/logger"
)

const description = `Answers queries over sharded services through their upstreams.

Standard error gets the log as JSON lines.

Exit codes: 0 done or stopped as planned, 1 failed, 2 wrong usage or a faulty file.`

// errFaulty reports that a file has faults, which have already been printed.
var errFaulty = errors.New("faulty file")

// program holds the state that the sub-commands share.
type program struct {
	ctx     context.Context
	stdout  io.Writer
	stderr  io.Writer
	options globalOptions
}

// globalOptions holds the options that apply without a sub-command.
type globalOptions struct {
	Version bool `long:"version" description:"Print the version and exit"`
}

func (p *program) parser() *flags.Parser {
	parser := flags.NewNamedParser("tillerd", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	// Adding groups and commands fails only for wrong option tags, which are constant.
	_, _ = parser.AddGroup("Options", "", &p.options)
	_, _ = parser.AddCommand("run", "Run the daemon", runDescription, &runCommand{program: p})
	_, _ = parser.AddCommand("check", "Check settings and documents", checkDescription, &checkCommand{program: p})
	_, _ = parser.AddCommand("demo", "Run a demonstration on loopback", demoDescription, &demoCommand{program: p})
	return parser
}

func (p *program) printVersion() {
	version := "(devel)"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	fmt.Fprintln(p.stdout, "tillerd", version)
}

// newLogger returns a logger to standard error with the given level and redirects the standard library's log to it.
func (p *program) newLogger(level string) (logr.Logger, error) {
	l, err := logger.New(p.stderr, level)
	if err != nil {
		return logr.Discard(), err
	}
	log.SetFlags(0)
	log.SetOutput(lineWriter{l})
	return l, nil
}

// logError logs the error that ends the program.
func (p *program) logError(err error, message string) {
	// New fails only for an unknown level, and this one is known.
	l, _ := logger.New(p.stderr, "error")
	l.Error(err, message)
}

// lineWriter passes log lines of the standard library, such as those of net/http, to a logger.
type lineWriter struct {
	logger logr.Logger
}

func (w lineWriter) Write(line []byte) (int, error) {
	w.logger.Info("net/http", "Line", strings.TrimSpace(string(line)))
	return len(line), nil
}
