package demonstrator

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/decoder"
)

// Change edits the stored document with change, submits the result through the operator API of a running daemon,
// and waits until every running daemon has applied it. It returns an error if the daemon refuses the document or
// if ctx ends first.
func (f *Fleet) Change(ctx context.Context, change func(*tiller.Document)) error {
	client, err := f.operatorClient()
	if err != nil {
		return err
	}
	stored, err := f.readDocument(ctx, client)
	if err != nil {
		return err
	}
	doc, faults := decoder.DecodeDocument("", []byte(stored.Text))
	if len(faults) > 0 {
		return errors.Errorf("stored document is invalid: %s", faults)
	}
	change(doc)
	text, err := decoder.Encode(doc)
	if err != nil {
		return errors.Wrap(err, "encode the document")
	}
	result, err := client.PutDocument(ctx, &operator.Change{
		Operation:        uuid.NewString(),
		Operator:         "demonstrator",
		ExpectedRevision: stored.Revision,
		Text:             string(text),
	}, operator.PutDocumentParams{Env: operator.PutDocumentEnv(f.Document.Environment)})
	if err != nil {
		return errors.Wrap(err, "submit the changed document")
	}
	accepted, ok := result.(*operator.Accepted)
	if !ok {
		return errors.Errorf("daemon refused the document: %+v", result)
	}
	doc.Revision = accepted.Revision
	f.Document = doc
	return f.awaitRevision(ctx, accepted.Revision)
}

// readDocument returns the stored document, read through the operator API of a daemon.
func (f *Fleet) readDocument(ctx context.Context, client *operator.Client) (*operator.StoredDocument, error) {
	result, err := client.GetDocument(ctx, operator.GetDocumentParams{Env: operator.GetDocumentEnv(f.Document.Environment)})
	if err != nil {
		return nil, errors.Wrap(err, "read the document")
	}
	stored, ok := result.(*operator.StoredDocument)
	if !ok {
		return nil, errors.Errorf("daemon did not return the document: %+v", result)
	}
	return stored, nil
}

// operatorClient returns a client for the operator API of the first running daemon.
func (f *Fleet) operatorClient() (*operator.Client, error) {
	for _, m := range f.Members {
		if m != nil {
			return operator.NewClient("http://" + m.Daemon().OperatorAddress())
		}
	}
	return nil, errors.New("no daemon is running")
}

// awaitRevision waits until every running daemon has applied the revision or a later one.
func (f *Fleet) awaitRevision(ctx context.Context, revision int64) error {
	for _, m := range f.Members {
		for m != nil && m.Daemon().Revision() < revision {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "revision %d is not in effect at the daemon with seat %d", revision, m.Seat())
			case <-time.After(time.Millisecond):
			}
		}
	}
	return nil
}

// KillDaemon stops the daemon of a VM immediately, without a drain, to simulate a crash of its process:
// its peers get no more replies.
func (f *Fleet) KillDaemon(vm int) {
	f.Members[vm].Close()
	f.Members[vm] = nil
}
