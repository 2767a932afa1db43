// Command tillergate runs the daemon of an entry VM on the users' platform, configured by the platform's settings file.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/gatekeeper"
	"github.com/carawaytiller/carawaytiller/logger"
	"github.com/carawaytiller/carawaytiller/platform"
	"github.com/carawaytiller/carawaytiller/reloader"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// logQueueLines is the number of log lines that may wait to be written. Lines beyond it are dropped and counted.
const logQueueLines = 4096

// collectShare is the share of the VM's memory at which the garbage collector works harder.
const collectShare = 0.5

// options holds the parsed command line.
type options struct {
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"error" description:"least level of the log lines on standard output"`
	Args     struct {
		Command string `positional-arg-name:"run|check" description:"run the daemon, or check its settings"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	// The handlers are never removed: the default action of a signal would end a daemon that is still stopping.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	os.Exit(execute(ctx, os.Args[1:], os.Getenv(platform.SettingsVariable), os.Stdout, os.Stderr))
}

// execute runs the program until ctx ends and returns its exit code.
func execute(ctx context.Context, args []string, settingsPath string, stdout, stderr io.Writer) int {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	var o options
	_, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, usage.Message)
		return exitDone
	case err == nil && o.Args.Command != "run" && o.Args.Command != "check":
		err = fmt.Errorf("unknown command %q, want run or check", o.Args.Command)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	contents, settings, err := readSettings(settingsPath)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if o.Args.Command == "check" {
		fmt.Fprintf(stdout, "settings of %s in %s are valid\n", settings.VM, settings.Domain)
		return exitDone
	}
	lines := logger.NewAsync(stdout, logQueueLines)
	defer lines.Close()
	log, err := logger.New(lines, o.LogLevel)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	// A write to a closed pipe or client connection must return an error instead of ending the process with SIGPIPE.
	signal.Ignore(syscall.SIGPIPE)
	if limit := settings.MemoryBytes; limit > 0 {
		debug.SetMemoryLimit(int64(collectShare * float64(limit)))
	}
	daemon := gatekeeper.New(settings, tiller.SystemClock(), log, lines.Dropped)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go reload(background, settingsPath, contents, log, daemon, hup)
	if err := daemon.Run(ctx); err != nil {
		log.Error(err, "Daemon failed")
		return exitFailed
	}
	return exitDone
}

// readSettings reads the settings file and returns its contents and the parsed settings.
func readSettings(path string) ([]byte, platform.Settings, error) {
	contents, err := os.ReadFile(path)
	if err != nil {
		return nil, platform.Settings{}, fmt.Errorf("read settings: %w", err)
	}
	settings, err := platform.ParseSettings(contents)
	if err != nil {
		err = fmt.Errorf("settings file %q: %w", path, err)
	}
	return contents, settings, err
}

// reload applies changes of the settings file to the daemon until ctx ends.
// It checks the file every reloader.PollMillis and on each signal of hup.
func reload(ctx context.Context, path string, contents []byte, log logr.Logger, daemon *gatekeeper.Gatekeeper, hup <-chan os.Signal) {
	reloader.New(path, contents, log, func(contents []byte) error {
		settings, err := platform.ParseSettings(contents)
		if err != nil {
			return err
		}
		daemon.Reload(settings)
		return nil
	}).Run(ctx, reloader.PollMillis, hup)
}
