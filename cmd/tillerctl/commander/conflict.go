package commander

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/decoder"
)

// reportConflict prints the change that was accepted meanwhile and the change that was refused.
// There is no conflict when the text in the store is that of the change.
func (c *Commander) reportConflict(ctx context.Context, daemons []daemon, ch change, e operator.Error) error {
	theirs, err := conflicting(ctx, daemons, ch.env, e)
	if err != nil {
		return errors.Wrap(err, "conflict with another change, which cannot be read")
	}
	if theirs.text == ch.next {
		c.print("%s has this document at revision %d\n", ch.env, theirs.revision)
		return nil
	}
	base := ch.base.document()
	next, _ := decoder.DecodeDocument("", []byte(ch.next))
	c.print("conflict: accepted meanwhile, up to revision %d:\n", theirs.revision)
	c.printChanges(decoder.Diff(base, theirs.document()))
	c.print("conflict: not accepted:\n")
	c.printChanges(decoder.Diff(base, next))
	return errors.Errorf("conflict: %s is at revision %d and not at %d", ch.env, theirs.revision, ch.base.revision)
}

// conflicting returns the document in the way, from the refusal if it has it, else from the store.
func conflicting(ctx context.Context, daemons []daemon, env string, e operator.Error) (stored, error) {
	if e.Text.Set && e.Revision.Set {
		return stored{revision: e.Revision.Value, text: e.Text.Value}, nil
	}
	return getDocument(ctx, daemons, env)
}
