package keeper

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Change is an operator's change of the document of an environment.
type Change struct {
	Environment string
	// Operation identifies the change; the same identifier is applied once.
	Operation string
	Operator  string
	// Expected is the revision that the change starts from; 0 means that there is no document yet.
	Expected int64
	Text     string
}

// ConflictError says that another change was accepted first. The refused change took no effect and never will.
type ConflictError struct {
	Record Record
}

// Error names the change that was accepted first.
func (e *ConflictError) Error() string {
	last := Operation{Operator: "unknown"}
	if n := len(e.Record.Operations); n > 0 {
		last = e.Record.Operations[n-1]
	}
	return fmt.Sprintf("the document is at revision %d, last changed by %s with operation %s", e.Record.Revision, last.Operator, last.ID)
}

// Accept writes a change and returns its revision once the write is known to have taken effect.
//
// After a lost answer it reads the record back and looks for the operation. A repeated
// compare-and-swap is safe, because the version that it expects can be used up only once.
// It fails with a ConflictError when another change was first, and with a *tiller.Failure
// with the verdict MayHaveRun when ctx ends before the outcome is known.
func (k *Keeper) Accept(ctx context.Context, c Change) (int64, error) {
	revision, _, err := k.AcceptRecord(ctx, c)
	return revision, err
}

// AcceptRecord is Accept, and also returns the record that held the change when its acceptance was known.
// When the operation was accepted earlier, the record may be of a later revision and its text another one
// than that of the change.
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

// errStale says that a read returned an older record than one known to exist.
var errStaleRead = errors.New("store returned an old record")

func (k *Keeper) tryAccept(ctx context.Context, c Change) (int64, Record, error) {
	record, version, err := k.Read(ctx, c.Environment)
	if err != nil {
		// A failed read changes nothing, whatever its own verdict.
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

// conflict returns the error for a record that is past the expected revision.
// When the record no longer remembers the operations since then, the outcome of an earlier try is unknown.
func newConflictError(r Record, c Change) error {
	if !r.hasAllSince(c.Expected) {
		return &outcomeUnknownError{&ConflictError{Record: r}}
	}
	return &ConflictError{Record: r}
}

// outcomeUnknownError is a conflict that cannot tell whether the change was accepted earlier.
type outcomeUnknownError struct{ conflict *ConflictError }

// Error names the change that is in force.
func (e *outcomeUnknownError) Error() string {
	return "the record no longer remembers whether the change was accepted: " + e.conflict.Error()
}

// Unwrap returns a *tiller.Failure with the verdict MayHaveRun.
func (e *outcomeUnknownError) Unwrap() error {
	return tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonInternal, e.conflict)
}

// isFinal says that another try cannot change the outcome.
func isFinal(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict) || errors.Is(err, ErrTooLarge)
}
