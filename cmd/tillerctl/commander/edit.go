package commander

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/decoder"
)

// editDescription tells how the sub-commands that change single fields work.
const editDescription = "Only the fields in question are changed in the stored text; comments and everything else stay." +
	" A change of other fields that is accepted meanwhile is no conflict: the edit is made again on its document."

// editAttempts bounds the number of documents that an edit is made on.
const editAttempts = 8

// editOptions are the options of the sub-commands that change single fields.
type editOptions struct {
	Env    string        `long:"env" choice:"trial" choice:"production" required:"yes" description:"environment"`
	Change changeOptions `group:"Change Options"`
	Daemon daemonOptions `group:"Daemon Options"`
}

// editFunc returns the text of a document after an edit, unchanged when the document is as wanted already.
// Its errors say why the edit is not possible on this document.
type editFunc func(doc *tiller.Document, text []byte) ([]byte, error)

// edit makes an edit on the stored document, and again when a change of other fields was accepted first.
// Every request has the same operation identifier, so that it is applied at most once.
func (c *Commander) edit(ctx context.Context, o editOptions, f editFunc) error {
	daemons, err := o.Daemon.daemons()
	if err != nil {
		return err
	}
	if o.Change.Operation == "" {
		o.Change.Operation = c.NewID()
	}
	wait := firstWaitMillis * time.Millisecond
	for range editAttempts {
		again, err := c.tryEdit(ctx, daemons, o, f)
		if !again {
			return err
		}
		c.note("%s: another change was accepted first; trying again", o.Env)
		c.Sleep(ctx, wait)
		wait = min(2*wait, greatestWaitMillis*time.Millisecond)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return errors.Errorf("other changes were accepted first %d times; nothing was changed", editAttempts)
}

// tryEdit makes an edit on the document as it is now. again says that another change was accepted first.
func (c *Commander) tryEdit(ctx context.Context, daemons []daemon, o editOptions, f editFunc) (again bool, err error) {
	base, err := getDocument(ctx, daemons, o.Env)
	if err != nil {
		return false, err
	}
	next, err := edited(o.Env, base, f)
	if err != nil {
		return false, err
	}
	if next == base.text {
		c.print("nothing to change: %s has this at revision %d\n", o.Env, base.revision)
		return false, nil
	}
	ch := change{env: o.Env, options: o.Change, base: base, next: next}
	if err := ch.check(); err != nil {
		return false, err
	}
	c.showChange(ch)
	if o.Change.DryRun {
		return false, nil
	}
	out, err := c.putUntilKnown(ctx, daemons, ch)
	if err != nil {
		return false, err
	}
	if out.isConflict() {
		return true, nil
	}
	return false, c.conclude(ctx, daemons, ch, out)
}

// edited returns the text of a stored document after an edit.
func edited(env string, base stored, f editFunc) (string, error) {
	if base.revision == 0 {
		return "", errors.Errorf("there is no document for %s", env)
	}
	doc, faults := decoder.DecodeDocument(env, []byte(base.text))
	if len(faults) > 0 {
		return "", errors.Errorf("the document at revision %d has faults:\n%s", base.revision, faults)
	}
	text, err := f(doc, []byte(base.text))
	if err != nil {
		return "", err
	}
	if _, faults := decoder.DecodeDocument(env, text); len(faults) > 0 {
		return "", badInput(errors.Errorf("the document would have faults:\n%s", faults))
	}
	return string(text), nil
}
