package keeper

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Change is a request of an operator to replace the document of an environment.
type Change struct {
	Environment string
	// Operation identifies the change. A repeated change with the same identifier is applied only once.
	Operation string
	Operator  string
	// Expected is the revision that the change replaces; 0 means that no document is stored yet.
	Expected int64
	// Text is the new document.
	Text string
}

// ConflictError means that another change was accepted first. The rejected change has had no effect and never will
// have one, unless a *tiller.Failure with the verdict MayHaveRun wraps this error.
type ConflictError struct {
	// Record is the stored record with the accepted change.
	Record Record
}

// Error returns the stored revision and the last accepted operation.
func (e *ConflictError) Error() string {
	last := Operation{Operator: "unknown"}
	if n := len(e.Record.Operations); n > 0 {
		last = e.Record.Operations[n-1]
	}
	return fmt.Sprintf("the document is at revision %d, last changed by %s with operation %s", e.Record.Revision, last.Operator, last.ID)
}

// Accept writes a change and returns its revision once the write is known to have taken effect.
//
// After a lost reply it reads the record back and looks for the operation. Retrying the
// compare-and-swap is safe, because at most one write can succeed for an expected version.
// It fails with a ConflictError when another change was accepted first. When ctx ends first, it fails with a
// *tiller.Failure: NotRun if no write can have taken effect, else MayHaveRun. ErrTooLarge is not retried.
func (k *Keeper) Accept(ctx context.Context, c Change) (int64, error) {
	revision, _, err := k.AcceptRecord(ctx, c)
	return revision, err
}

// AcceptRecord does the same as Accept and also returns the record that contains the accepted operation.
// When an earlier call was accepted, the record may have a later revision, and its text may differ
// from that of the change.
func (k *Keeper) AcceptRecord(ctx context.Context, c Change) (int64, Record, error) {
	verdict := tiller.NotRun
	for attempt := 0; ; attempt++ {
		revision, record, err := k.tryAccept(ctx, c)
		if err == nil {
			return revision, record, nil
		}
		if isFinal(err) {
			return 0, Record{}, err
		}
		if verdictOf(err) != tiller.NotRun {
			verdict = tiller.MayHaveRun
		}
		if waitErr := k.backoff(ctx, attempt); waitErr != nil {
			return 0, Record{}, tiller.NewFailure(verdict, tiller.ReasonTimeout, err)
		}
	}
}

// errStaleRead means that a read returned a revision below the expected one, which is known to exist.
var errStaleRead = errors.New("store returned an old record")

func (k *Keeper) tryAccept(ctx context.Context, c Change) (int64, Record, error) {
	record, version, err := k.Read(ctx, c.Environment)
	if err != nil {
		// A read changes nothing, so the verdict is NotRun even when that of the read is MayHaveRun.
		return 0, Record{}, tiller.NewFailure(tiller.NotRun, tiller.ReasonInternal, err)
	}
	if accepted, ok := record.findOperation(c.Operation); ok {
		return accepted.Revision, record, nil
	}
	if record.Revision < c.Expected {
		return 0, Record{}, tiller.NewFailure(tiller.NotRun, tiller.ReasonInternal, errStaleRead)
	}
	if record.Revision > c.Expected {
		return 0, Record{}, newConflictError(record, c)
	}
	next := record.withChange(c, k.cfg.Clock.Now())
	text, err := json.Marshal(next)
	if err != nil {
		return 0, Record{}, tiller.NewFailure(tiller.NotRun, tiller.ReasonInternal, err)
	}
	if _, err := k.cfg.Platform.Put(ctx, k.key(c.Environment, "document"), string(text), version, 0); err != nil {
		return 0, Record{}, err
	}
	return next.Revision, next, nil
}

// newConflictError returns the error for a record whose revision is above the expected one.
// When the record no longer lists all operations since the expected revision, an earlier attempt
// may have been accepted, so its outcome is unknown.
func newConflictError(r Record, c Change) error {
	if !r.hasAllSince(c.Expected) {
		return &outcomeUnknownError{&ConflictError{Record: r}}
	}
	return &ConflictError{Record: r}
}

// outcomeUnknownError is a conflict after which it is unknown whether an earlier attempt of the change was accepted.
type outcomeUnknownError struct{ conflict *ConflictError }

// Error returns the reason and the text of the conflict.
func (e *outcomeUnknownError) Error() string {
	return "the record no longer remembers whether the change was accepted: " + e.conflict.Error()
}

// Unwrap returns a *tiller.Failure with the verdict MayHaveRun.
func (e *outcomeUnknownError) Unwrap() error {
	return tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonInternal, e.conflict)
}

// isFinal reports whether a retry cannot change the outcome.
func isFinal(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict) || errors.Is(err, ErrTooLarge)
}
