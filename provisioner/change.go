package provisioner

import (
	"context"
	"errors"
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/decoder"
	"github.com/carawaytiller/carawaytiller/keeper"
	"github.com/carawaytiller/carawaytiller/server"
)

const (
	// acceptTimeoutMillis bounds the time to write a change and to find out its outcome.
	// It is below the 5 s that tillerctl waits for an answer.
	acceptTimeoutMillis tiller.Millis = 4500
	// getTimeoutMillis bounds a read of the store for an operator.
	getTimeoutMillis tiller.Millis = 4500
)

// GetDocument returns the stored document of an environment. Its errors are of type *server.OperatorError.
func (p *Provisioner) GetDocument(ctx context.Context, env string) (*operator.StoredDocument, error) {
	record, err := p.readRecord(ctx, env)
	if err != nil {
		return nil, err
	}
	return &operator.StoredDocument{Revision: record.Revision, Text: record.Text}, nil
}

// History returns the newest accepted changes of the document of an environment.
// Its errors are of type *server.OperatorError.
func (p *Provisioner) History(ctx context.Context, env string) (*operator.History, error) {
	record, err := p.readRecord(ctx, env)
	if err != nil {
		return nil, err
	}
	h := &operator.History{Revision: record.Revision, Changes: make([]operator.PastChange, len(record.Operations))}
	for i, o := range record.Operations {
		h.Changes[i] = operator.PastChange{Revision: o.Revision, Operation: o.ID, Operator: o.Operator, AtMillis: int64(o.AtMillis)}
	}
	return h, nil
}

// readRecord reads the record of an environment for an operator.
func (p *Provisioner) readRecord(ctx context.Context, env string) (keeper.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, getTimeoutMillis.Duration())
	defer cancel()
	record, _, err := p.keeper.Read(ctx, env)
	if err != nil {
		// A read has no effect, whatever its outcome.
		return record, server.NewOperatorError(tiller.NotRun, operator.ErrorReasonStoreDown, err.Error())
	}
	if record.Revision == 0 {
		return record, server.NewOperatorError(tiller.NotRun, operator.ErrorReasonNotFound, "there is no document for "+env)
	}
	return record, nil
}

// PutDocument checks the whole document of a change and writes it to the store. When the change is accepted and is for
// the daemon's own environment, the daemon applies it and sends it to its peers; the daemons of another environment
// read it from the store. Its errors are of type *server.OperatorError.
func (p *Provisioner) PutDocument(ctx context.Context, env string, c *operator.Change) (*operator.Accepted, error) {
	if err := checkDocument(env, c.Text); err != nil {
		return nil, err
	}
	// The write continues when the operator disconnects, so that an accepted change is logged and applied.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTimeoutMillis.Duration())
	defer cancel()
	revision, record, err := p.keeper.AcceptRecord(ctx, keeper.Change{
		Environment: env,
		Operation:   c.Operation,
		Operator:    c.Operator,
		Expected:    c.ExpectedRevision,
		Text:        c.Text,
	})
	log := p.cfg.Log.WithValues("Environment", env, "Operator", c.Operator, "Operation", c.Operation)
	if err != nil {
		refused := refusalOf(err)
		log.Info("change not accepted", "Verdict", refused.Body.Verdict, "Reason", err.Error())
		return nil, refused
	}
	log.Info("change accepted", "Revision", revision)
	if env == p.cfg.Environment {
		p.learnAccepted(record)
	}
	return &operator.Accepted{Revision: revision}, nil
}

// learnAccepted passes a record that the store has accepted to the syncer.
// Without a seat it ends the wait of the loop that claims one.
func (p *Provisioner) learnAccepted(record keeper.Record) {
	if s := p.current(); s != nil {
		s.syncer.HandleRecord(record)
		return
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// checkDocument returns a refusal when text is not a valid document of env.
func checkDocument(env, text string) error {
	doc, faults := decoder.DecodeDocument("", []byte(text))
	if len(faults) > 0 {
		return badDocument(faults)
	}
	if doc.Environment != env {
		return badDocument(decoder.Faults{{
			Line: 1, Column: 1, Field: "Environment", Reason: fmt.Sprintf("the document is for %s and not for %s", doc.Environment, env),
		}})
	}
	return nil
}

// badDocument returns the refusal of a document with faults.
func badDocument(faults decoder.Faults) *server.OperatorError {
	err := server.NewOperatorError(tiller.NotRun, operator.ErrorReasonBadDocument, fmt.Sprintf("the document has %d faults", len(faults)))
	for _, f := range faults {
		err.Body.Faults = append(err.Body.Faults, f.String())
	}
	return err
}

// refusalOf returns the refusal for an error of AcceptRecord. A conflict means NotRun,
// another error without a verdict MayHaveRun.
func refusalOf(err error) *server.OperatorError {
	verdict := tiller.MayHaveRun
	var conflict *keeper.ConflictError
	isConflict := errors.As(err, &conflict)
	var failure *tiller.Failure
	switch {
	case errors.As(err, &failure):
		verdict = failure.Verdict
	case isConflict:
		verdict = tiller.NotRun
	}
	switch {
	case isConflict:
		refused := server.NewOperatorError(verdict, operator.ErrorReasonConflict, err.Error())
		refused.Body.Revision = operator.NewOptInt64(conflict.Record.Revision)
		refused.Body.Text = operator.NewOptString(conflict.Record.Text)
		return refused
	case errors.Is(err, keeper.ErrTooLarge):
		return badDocument(decoder.Faults{{Line: 1, Column: 1, Field: "Document", Reason: "with its history it is larger than a value of the store"}})
	case verdict == tiller.NotRun:
		return server.NewOperatorError(verdict, operator.ErrorReasonStoreDown, err.Error())
	}
	return server.NewOperatorError(verdict, operator.ErrorReasonStoreDown,
		"the outcome is unknown; the same operation may be sent again and is applied once: "+err.Error())
}
