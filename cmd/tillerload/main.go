// Command tillerload puts load on daemons, checks their answers and reports latency, coverage and extra load.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// After the first signal the default handling is back, so that a second one ends the process at once.
	context.AfterFunc(ctx, stop)
	os.Exit(commander.New(os.Stdout, os.Stderr).Run(ctx, os.Args[1:]))
}
