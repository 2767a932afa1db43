package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"

	"github.com/carawaytiller/carawaytiller/logger"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

const description = `Sends queries to daemons at a given rate, whether or not earlier ones were answered, checks every answer and refusal, and reports latency from the intended start, coverage, extra load and violations of invariants. The sub-command compare measures queries against direct upstream calls instead.

Exit codes: 0 done, 1 failed or invariants violated, 2 bad input.`

// errViolated says that invariants were violated, which has been reported.
var errViolated = errors.New("invariants were violated")

// inputError marks an error in what was given on the command line.
type inputError struct{ err error }

// Error returns the text of the error.
func (e *inputError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *inputError) Unwrap() error { return e.err }

// Commander runs tillerload.
type Commander struct {
	out io.Writer
	err io.Writer
}

// New returns a Commander that writes results to out, and progress, logs and errors to errOut.
func New(out, errOut io.Writer) *Commander {
	return &Commander{out: out, err: errOut}
}

// globalOptions are the options of every sub-command.
type globalOptions struct {
	JSON    bool `long:"json" description:"Write the result as JSON"`
	Version bool `long:"version" description:"Print the version and exit"`
}

// Run runs the command line args and returns the exit code.
func (c *Commander) Run(ctx context.Context, args []string) int {
	var global globalOptions
	var load loadOptions
	var compare compareOptions
	var capacity capacityOptions
	parser := flags.NewNamedParser("tillerload", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	parser.LongDescription = description
	must(parser.AddGroup("Global Options", "", &global))
	must(parser.AddGroup("Load Options", "", &load))
	must(parser.AddCommand("compare", "Measure queries against direct upstream calls", compareDescription, &compare))
	must(parser.AddCommand("capacity", "Measure what a daemon costs and work it out for a size", capacityDescription, &capacity))
	rest, err := parser.ParseArgs(args)
	switch {
	case flags.WroteHelp(err):
		return c.exit(c.print("%s\n", err))
	case err != nil:
		return c.exit(&inputError{err})
	case global.Version:
		return c.exit(c.print("tillerload %s\n", version()))
	case len(rest) > 0:
		return c.exit(&inputError{errors.Errorf("unexpected argument %q", rest[0])})
	case parser.Active != nil && parser.Active.Name == "capacity":
		return c.exit(c.capacity(capacity, global.JSON))
	case parser.Active != nil:
		return c.exit(c.compare(ctx, compare, global.JSON))
	}
	return c.exit(c.load(ctx, load, global.JSON))
}

// must panics on an error, which here means a mistake in the tags of an options struct.
func must[T any](_ T, err error) {
	if err != nil {
		panic(err)
	}
}

// version returns the version of the module, as recorded in the binary.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

func (c *Commander) print(format string, args ...any) error {
	_, err := fmt.Fprintf(c.out, format, args...)
	return err
}

// write writes a result as JSON or by text.
func (c *Commander) write(asJSON bool, result any, text func(io.Writer) error) error {
	if !asJSON {
		return text(c.out)
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

// logger returns the logger of the daemons in this process.
func (c *Commander) logger() (logr.Logger, error) {
	return logger.New(c.err, "error")
}

// exit reports err and returns its exit code.
func (c *Commander) exit(err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(c.err, "tillerload: %v\n", err)
	var bad *inputError
	if errors.As(err, &bad) {
		return exitBadInput
	}
	return exitFailed
}
