// Command tillerfake runs fakes of the platform and of upstreams on loopback addresses until it is interrupted.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/carawaytiller/carawaytiller/decoder"
	"github.com/carawaytiller/carawaytiller/logger"
)

// Exit codes.
const (
	exitStopped = 0
	exitFailed  = 1
	exitUsage   = 2
)

const description = `Runs fakes of the platform and of upstreams on loopback addresses until it gets SIGINT or SIGTERM.

Standard output gets one JSON object with the addresses in use, standard error the log as JSON lines.
At the control address, GET and PUT /fault show and replace the faults of a fake, and GET /counts shows its counts.
For the sub-command all, these paths are under /store, /list (the list of VMs has no counts) and /upstreams/NAME.

Exit codes: 0 stopped by a signal, 1 could not start, 2 wrong usage.`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs the program until ctx ends and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	log, err := logger.New(stderr, decoder.DefaultLogLevel)
	if err != nil {
		_, _ = io.WriteString(stderr, err.Error()+"\n")
		return exitFailed
	}
	p := &program{ctx: ctx, stdout: stdout, log: log}
	_, err = p.parser().ParseArgs(args)
	if err == nil {
		return exitStopped
	}
	var usage *flags.Error
	if !errors.As(err, &usage) {
		log.Error(err, "failed")
		return exitFailed
	}
	if usage.Type == flags.ErrHelp {
		_, _ = io.WriteString(stdout, usage.Message+"\n")
		return exitStopped
	}
	log.Error(err, "wrong usage")
	return exitUsage
}
