package joiner

import (
	"context"
	"errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/decoder"
	"github.com/carawaytiller/carawaytiller/keeper"
	"github.com/carawaytiller/carawaytiller/server"
)

// changeMillis bounds the time for a change to be accepted, with all repetitions.
const changeMillis = 10 * tiller.Second

// decodeDocument parses and checks the text of a document.
func decodeDocument(text string) (*tiller.Document, error) {
	doc, faults := decoder.DecodeDocument("", []byte(text))
	if len(faults) > 0 {
		return nil, errors.New(faults.String())
	}
	return doc, nil
}

// getDocument returns the stored document of an environment.
func (m *Member) getDocument(ctx context.Context, env string) (*operator.StoredDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, changeMillis.Duration())
	defer cancel()
	record, _, err := m.keeper.Read(ctx, env)
	if err != nil {
		return nil, server.NewOperatorError(tiller.NotRun, operator.ErrorReasonStoreDown, err.Error())
	}
	if record.Revision == 0 {
		return nil, server.NewOperatorError(tiller.NotRun, operator.ErrorReasonNotFound, "there is no document yet")
	}
	return &operator.StoredDocument{Revision: record.Revision, Text: record.Text}, nil
}

// putDocument accepts a change of an environment's document.
func (m *Member) putDocument(ctx context.Context, env string, c *operator.Change) (*operator.Accepted, error) {
	if err := checkChange(env, c.Text); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, changeMillis.Duration())
	defer cancel()
	revision, err := m.keeper.Accept(ctx, keeper.Change{
		Environment: env,
		Operation:   c.Operation,
		Operator:    c.Operator,
		Expected:    c.ExpectedRevision,
		Text:        c.Text,
	})
	if err != nil {
		return nil, changeError(err)
	}
	m.cfg.Logger.Info("change accepted", "Environment", env, "Revision", revision, "Operator", c.Operator, "Operation", c.Operation)
	// The accepting daemon spreads the change at once instead of waiting for its own watch.
	if s := m.syncer.Load(); s != nil && env == m.cfg.Environment && revision == c.ExpectedRevision+1 {
		s.LearnRecord(keeper.Record{Revision: revision, Text: c.Text})
	}
	return &operator.Accepted{Revision: revision}, nil
}

// checkChange returns an error that lists every fault of a document.
func checkChange(env, text string) error {
	doc, faults := decoder.DecodeDocument("", []byte(text))
	if len(faults) > 0 {
		refused := server.NewOperatorError(tiller.NotRun, operator.ErrorReasonBadDocument, "the document has faults")
		for _, f := range faults {
			refused.Body.Faults = append(refused.Body.Faults, f.String())
		}
		return refused
	}
	if doc.Environment != env {
		return server.NewOperatorError(tiller.NotRun, operator.ErrorReasonBadDocument, "the document is for "+doc.Environment)
	}
	return nil
}

// changeError translates the failure of a change; one of unknown outcome says so.
func changeError(err error) *server.OperatorError {
	verdict := tiller.MayHaveRun
	var failure *tiller.Failure
	if errors.As(err, &failure) {
		verdict = failure.Verdict
	}
	var conflict *keeper.ConflictError
	switch {
	case errors.As(err, &conflict):
		if failure == nil {
			verdict = tiller.NotRun
		}
		refused := server.NewOperatorError(verdict, operator.ErrorReasonConflict, err.Error())
		refused.Body.Revision = operator.NewOptInt64(conflict.Record.Revision)
		refused.Body.Text = operator.NewOptString(conflict.Record.Text)
		return refused
	case errors.Is(err, keeper.ErrTooLarge):
		return server.NewOperatorError(verdict, operator.ErrorReasonBadDocument, err.Error())
	}
	return server.NewOperatorError(verdict, operator.ErrorReasonStoreDown, err.Error())
}
