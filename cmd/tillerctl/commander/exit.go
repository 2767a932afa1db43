package commander

import (
	"github.com/go-faster/errors"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

// errReported is the cause of an error whose details have been printed already.
var errReported = errors.New("reported")

// inputError marks an error in what the operator gave.
type inputError struct{ err error }

// Error returns the text of the error.
func (e *inputError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *inputError) Unwrap() error { return e.err }

// badInput marks err as an error in what the operator gave.
func badInput(err error) error {
	return &inputError{err: err}
}
