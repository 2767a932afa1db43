// Command tillerd runs the daemon of carawaytiller, checks its files and runs a demonstration.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// The first signal restores the default handling, so that a second one ends the process at once.
	context.AfterFunc(ctx, stop)
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs the program until ctx ends and returns its exit code.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	p := &program{ctx: ctx, stdout: stdout, stderr: stderr}
	_, err := p.parser().ParseArgs(args)
	var usage *flags.Error
	switch {
	case p.options.Version:
		p.printVersion()
		return exitDone
	case err == nil:
		return exitDone
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, usage.Message)
		return exitDone
	case errors.As(err, &usage):
		p.logError(err, "wrong usage")
		return exitUsage
	case errors.Is(err, errFaulty):
		return exitUsage
	}
	p.logError(err, "failed")
	return exitFailed
}
