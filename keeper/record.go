package keeper

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

// OperationsKept is the number of accepted operations that a record lists, so that a retry after
// a lost reply can find its operation even when later changes were accepted.
const OperationsKept = 64

// Record is the stored document of an environment.
type Record struct {
	// Revision is that of the document; it grows by one with each accepted change.
	Revision int64
	// Text is the document in JSON with comments, as the operator wrote it.
	Text string
	// Operations are the newest accepted changes, oldest first.
	Operations []Operation
}

// Operation describes an accepted change. Its revision is the one that the change created.
type Operation struct {
	ID       string
	Operator string
	Revision int64
	// AtMillis is the time of the change on the accepting daemon's clock, in milliseconds since the Unix epoch.
	AtMillis tiller.Millis
}

// findOperation returns the accepted operation with the given identifier.
func (r Record) findOperation(id string) (Operation, bool) {
	for _, o := range r.Operations {
		if o.ID == id {
			return o, true
		}
	}
	return Operation{}, false
}

// hasAllSince reports whether the record lists every operation after the given revision.
func (r Record) hasAllSince(revision int64) bool {
	if len(r.Operations) == 0 {
		return r.Revision == 0
	}
	return r.Operations[0].Revision <= revision+1
}

// withChange returns the record after a change that is accepted at the given time.
func (r Record) withChange(c Change, at tiller.Millis) Record {
	accepted := Operation{ID: c.Operation, Operator: c.Operator, Revision: r.Revision + 1, AtMillis: at}
	kept := append([]Operation(nil), r.Operations...)
	kept = append(kept, accepted)
	if len(kept) > OperationsKept {
		kept = kept[len(kept)-OperationsKept:]
	}
	return Record{Revision: accepted.Revision, Text: c.Text, Operations: kept}
}

// Read returns the stored record of an environment and the version of its key.
// Revision and version are 0 when no record exists.
func (k *Keeper) Read(ctx context.Context, env string) (Record, int64, error) {
	e, err := k.cfg.Platform.Get(ctx, k.key(env, "document"))
	if errors.Is(err, ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	r, err := decodeRecord(e)
	return r, e.Version, err
}

func decodeRecord(e Entry) (Record, error) {
	var r Record
	if err := json.Unmarshal([]byte(e.Value), &r); err != nil {
		return Record{}, tiller.NewFailure(tiller.NotRun, tiller.ReasonInternal, errors.Wrap(err, "decode record"))
	}
	return r, nil
}
