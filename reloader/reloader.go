// Package reloader notices that a settings file has changed, whether or not a signal says so.
package reloader

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
)

// PollMillis is the time between two looks at a file that may change without a signal. A look costs
// a few system calls, and what operators change often is in the store.
const PollMillis = 2 * tiller.Second

// Reloader watches one file.
type Reloader struct {
	path string
	log  logr.Logger
	// apply takes the new contents. It returns an error when they are not valid; the old ones stay in
	// force then.
	apply func([]byte) error
	known []byte
}

// New returns a Reloader of the file at path, whose present contents are in force.
func New(path string, contents []byte, log logr.Logger, apply func([]byte) error) *Reloader {
	return &Reloader{path: path, log: log, apply: apply, known: contents}
}

// Run looks at the file every poll and whenever signals delivers, until ctx ends.
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
		r.look(signal)
	}
}

// look applies the file's contents when they have changed.
func (r *Reloader) look(signal string) {
	contents, err := os.ReadFile(r.path)
	if err != nil {
		// A file that is being replaced may be absent for a moment.
		r.log.Info("Settings cannot be read, the old ones stay in force", "Signal", signal, "Cause", err.Error())
		return
	}
	if bytes.Equal(contents, r.known) {
		if signal != "" {
			r.log.Info("Settings are unchanged", "Signal", signal)
		}
		return
	}
	r.known = contents
	if err := r.apply(contents); err != nil {
		r.log.Info("Settings are not valid, the old ones stay in force", "Signal", signal, "Cause", err.Error())
	}
}
