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

// Change applies a change of the document as an operator would, through one of the daemons, and waits
// until it is in force at every daemon. It fails when the change is refused or ctx ends first.
func (f *Fleet) Change(ctx context.Context, change func(*tiller.Document)) error {
	client, err := f.operatorClient()
	if err != nil {
		return err
	}
	stored, err := f.stored(ctx, client)
	if err != nil {
		return err
	}
	doc, faults := decoder.DecodeDocument("", []byte(stored.Text))
	if len(faults) > 0 {
		return errors.Errorf("stored document: %s", faults)
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
		return errors.Wrap(err, "change the document")
	}
	accepted, ok := result.(*operator.Accepted)
	if !ok {
		return errors.Errorf("change refused: %+v", result)
	}
	doc.Revision = accepted.Revision
	f.Document = doc
	return f.awaitRevision(ctx, accepted.Revision)
}

// stored reads the document from the store through a daemon.
func (f *Fleet) stored(ctx context.Context, client *operator.Client) (*operator.StoredDocument, error) {
	result, err := client.GetDocument(ctx, operator.GetDocumentParams{Env: operator.GetDocumentEnv(f.Document.Environment)})
	if err != nil {
		return nil, errors.Wrap(err, "read the document")
	}
	stored, ok := result.(*operator.StoredDocument)
	if !ok {
		return nil, errors.Errorf("document not read: %+v", result)
	}
	return stored, nil
}

// operatorClient returns a client of the first daemon that runs.
func (f *Fleet) operatorClient() (*operator.Client, error) {
	for _, m := range f.Members {
		if m != nil {
			return operator.NewClient("http://" + m.Daemon().OperatorAddress())
		}
	}
	return nil, errors.New("no daemon runs")
}

// awaitRevision waits until every daemon that runs has a revision in force.
func (f *Fleet) awaitRevision(ctx context.Context, revision int64) error {
	for _, m := range f.Members {
		for m != nil && m.Daemon().Revision() < revision {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "revision %d is not in force at seat %d", revision, m.Seat())
			case <-time.After(time.Millisecond):
			}
		}
	}
	return nil
}

// KillDaemon ends the daemon of a VM at once, as a crash of its process would: its peers get no more replies.
func (f *Fleet) KillDaemon(vm int) {
	f.Members[vm].Close()
	f.Members[vm] = nil
}
