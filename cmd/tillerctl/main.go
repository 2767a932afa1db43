// Command tillerctl checks, compares and applies documents, and asks daemons for status, explanations and answers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/carawaytiller/carawaytiller/cmd/tillerctl/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.New(os.Stdin, os.Stdout, os.Stderr).Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
