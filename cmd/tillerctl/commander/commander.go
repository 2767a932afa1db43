package commander

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
)

// Commander runs the sub-commands of tillerctl.
type Commander struct {
	in  io.Reader
	out io.Writer
	err io.Writer
	// NewID returns a new identifier of a change or a query.
	NewID func() string
	// Sleep waits for a time or until the context ends.
	Sleep func(ctx context.Context, d time.Duration)
	// Now returns the present time.
	Now func() time.Time
}

// New returns a Commander that reads from in, and writes results to out and messages to errOut.
func New(in io.Reader, out, errOut io.Writer) *Commander {
	return &Commander{in: in, out: out, err: errOut, NewID: uuid.NewString, Sleep: sleep, Now: time.Now}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// command is one sub-command with its options.
type command interface {
	run(ctx context.Context, c *Commander) error
}

// globalOptions are the options without a sub-command.
type globalOptions struct {
	Version bool `long:"version" description:"print the version and exit"`
}

// Run runs the command line args and returns the exit code.
func (c *Commander) Run(ctx context.Context, args []string) int {
	var global globalOptions
	parser, commands := newParser(&global)
	rest, err := parser.ParseArgs(args)
	switch {
	case flags.WroteHelp(err):
		c.print("%s\n", err)
		return exitOK
	case err != nil:
		return c.exit(badInput(err))
	case global.Version:
		c.print("tillerctl %s\n", version())
		return exitOK
	case len(rest) > 0:
		return c.exit(badInput(errors.Errorf("unexpected argument %s", rest[0])))
	}
	active := parser.Active
	for active != nil && active.Active != nil {
		active = active.Active
	}
	chosen := commands[active]
	if chosen == nil {
		parser.WriteHelp(c.err)
		return exitBadInput
	}
	return c.exit(chosen.run(ctx, c))
}

// newParser returns the parser of the command line and the sub-commands that can be run.
func newParser(global *globalOptions) (*flags.Parser, map[*flags.Command]command) {
	parser := flags.NewNamedParser("tillerctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	parser.LongDescription = "Checks, compares and applies documents, changes single fields of them," +
		" and asks daemons for status, history, explanations and answers." +
		" Times are in milliseconds." +
		" Exit codes: 0 success, 1 refused or failed, 2 bad input."
	must(parser.AddGroup("Global Options", "", global))
	commands := map[*flags.Command]command{}
	addEntries(parser.Command, entries(), commands)
	return parser, commands
}

// addEntries adds sub-commands to a command, and those that can be run to commands.
func addEntries(parent *flags.Command, list []entry, commands map[*flags.Command]command) {
	for _, e := range list {
		if e.command != nil {
			commands[must(parent.AddCommand(e.name, e.short, e.long, e.command))] = e.command
			continue
		}
		group := must(parent.AddCommand(e.name, e.short, e.long, &struct{}{}))
		group.SubcommandsOptional = true
		addEntries(group, e.children, commands)
	}
}

// must panics on an error, which here means a mistake in the tags of an options struct.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// version returns the version of the module, as recorded in the binary.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

// print writes to standard output. A failure to write is not reported, because there is nowhere to report it.
func (c *Commander) print(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, format, args...)
}

// note writes a message to standard error.
func (c *Commander) note(format string, args ...any) {
	_, _ = fmt.Fprintf(c.err, format+"\n", args...)
}

// exit reports err and returns its exit code.
func (c *Commander) exit(err error) int {
	if err == nil {
		return exitOK
	}
	if !errors.Is(err, errReported) {
		c.note("tillerctl: %v", err)
	}
	var bad *inputError
	if errors.As(err, &bad) {
		return exitBadInput
	}
	return exitFailed
}
