// Package reloader detects changes of a settings file, by polling and on signals.
package reloader

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
)

// PollMillis is the polling interval for a file that may change without a signal. A poll costs a few
// system calls. A shorter interval is not needed, because what operators change often is in the store.
const PollMillis = 2 * tiller.Second

// Reloader watches one settings file and applies its changes.
type Reloader struct {
	path string
	log  logr.Logger
	// apply puts new contents in force. When they are not valid, it returns an error and the old ones
	// stay in force.
	apply func([]byte) error
	// lastRead holds the contents that were read last, valid or not.
	lastRead []byte
}

// New returns a Reloader for the file at path. contents are the contents of the file that are in force.
func New(path string, contents []byte, log logr.Logger, apply func([]byte) error) *Reloader {
	return &Reloader{path: path, log: log, apply: apply, lastRead: contents}
}

// Run checks the file at the interval poll and on each signal, and applies changed contents, until ctx ends.
func (r *Reloader) Run(ctx context.Context, poll tiller.Millis, signals <-chan os.Signal) {
	ticker := time.NewTicker(poll.Duration())
	defer ticker.Stop()
	for {
		signal := ""
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			signal = s.String()
		case <-ticker.C:
		}
		r.reloadIfChanged(signal)
	}
}

// reloadIfChanged applies the contents of the file when they have changed. signal is "" for a poll.
func (r *Reloader) reloadIfChanged(signal string) {
	contents, err := os.ReadFile(r.path)
	if err != nil {
		// A file that is being replaced may be absent briefly.
		r.log.Info("Settings cannot be read, the old ones stay in force", "Signal", signal, "Cause", err.Error())
		return
	}
	if bytes.Equal(contents, r.lastRead) {
		if signal != "" {
			r.log.Info("Settings are unchanged", "Signal", signal)
		}
		return
	}
	r.lastRead = contents
	if err := r.apply(contents); err != nil {
		r.log.Info("Settings are not valid, the old ones stay in force", "Signal", signal, "Cause", err.Error())
	}
}
