package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
)

// OperatorConfig holds the dependencies of the operators' interface. Every field is required.
// An error of type *OperatorError is sent as the response; any other error is sent as an internal error with status 500.
type OperatorConfig struct {
	Clock       tiller.Clock
	Metrics     *Metrics
	Status      func(context.Context) (*operator.Status, error)
	Explain     func(context.Context, tiller.RequestID) (*operator.Explanation, error)
	GetDocument func(ctx context.Context, env string) (*operator.StoredDocument, error)
	PutDocument func(ctx context.Context, env string, change *operator.Change) (*operator.Accepted, error)
	History     func(ctx context.Context, env string) (*operator.History, error)
	// Ready returns why the daemon accepts no new queries, or an empty string when it accepts them.
	Ready func() string
	// Stopping reports whether the daemon is stopping. Responses then ask for the connection to be closed.
	Stopping func() bool
}

// OperatorError is a refusal of an operator's request.
type OperatorError struct {
	// Body is the body of the response.
	Body operator.Error
}

// NewOperatorError returns an error with verdict, reason and a human-readable detail.
func NewOperatorError(v tiller.Verdict, reason operator.ErrorReason, detail string) *OperatorError {
	return &OperatorError{Body: operator.Error{
		Verdict: operator.ErrorVerdict(v.String()),
		Reason:  reason,
		Detail:  operator.NewOptString(detail),
		Faults:  []string{},
	}}
}

// Error returns verdict, reason and detail in one line.
func (e *OperatorError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Body.Verdict, e.Body.Reason, e.Body.Detail.Or(""))
}

// operatorStatuses holds the HTTP status of each reason.
var operatorStatuses = map[operator.ErrorReason]int{
	operator.ErrorReasonBadRequest:  http.StatusBadRequest,
	operator.ErrorReasonNotFound:    http.StatusNotFound,
	operator.ErrorReasonConflict:    http.StatusConflict,
	operator.ErrorReasonBadDocument: http.StatusUnprocessableEntity,
	operator.ErrorReasonStoreDown:   http.StatusServiceUnavailable,
	operator.ErrorReasonInternal:    http.StatusInternalServerError,
}

// NewOperator returns the handler of the operators' interface.
func NewOperator(cfg OperatorConfig) (http.Handler, error) {
	h := &operatorHandler{cfg: cfg}
	m := &middleware{
		pages:          pages{metrics: cfg.Metrics, ready: cfg.Ready},
		clock:          cfg.Clock,
		maxBytes:       maxOperatorBytes,
		bodyReadMillis: bodyTimeoutMillis,
		stopping:       cfg.Stopping,
		refuse:         h.refuse,
	}
	next, err := operator.NewServer(
		h,
		operator.WithNotFound(m.notFound),
		operator.WithMethodNotAllowed(m.notAllowed),
		operator.WithErrorHandler(h.handleError),
	)
	if err != nil {
		return nil, fmt.Errorf("build operator interface: %w", err)
	}
	m.next = next
	return m, nil
}

// operatorHandler implements the generated operator.Handler.
type operatorHandler struct {
	cfg OperatorConfig
}

// Status returns the state of the daemon.
func (h *operatorHandler) Status(ctx context.Context) (*operator.Status, error) {
	status, err := h.cfg.Status(ctx)
	if err != nil {
		return nil, toOperatorError(err)
	}
	return status, nil
}

// Explain returns the recorded decisions for a request.
func (h *operatorHandler) Explain(ctx context.Context, p operator.ExplainParams) (operator.ExplainRes, error) {
	explanation, err := h.cfg.Explain(ctx, tiller.RequestID(p.ID))
	if err != nil {
		return encodeOperatorError(err), nil
	}
	return explanation, nil
}

// GetDocument returns the document of an environment.
func (h *operatorHandler) GetDocument(ctx context.Context, p operator.GetDocumentParams) (operator.GetDocumentRes, error) {
	stored, err := h.cfg.GetDocument(ctx, string(p.Env))
	if err != nil {
		return encodeOperatorError(err), nil
	}
	return stored, nil
}

// PutDocument replaces the document of an environment.
func (h *operatorHandler) PutDocument(ctx context.Context, c *operator.Change, p operator.PutDocumentParams) (operator.PutDocumentRes, error) {
	accepted, err := h.cfg.PutDocument(ctx, string(p.Env), c)
	if err != nil {
		return encodeOperatorError(err), nil
	}
	return accepted, nil
}

// History returns the newest accepted changes of the document of an environment.
func (h *operatorHandler) History(ctx context.Context, p operator.HistoryParams) (operator.HistoryRes, error) {
	history, err := h.cfg.History(ctx, string(p.Env))
	if err != nil {
		return encodeOperatorError(err), nil
	}
	return history, nil
}

// toOperatorError returns the *OperatorError in the chain of err. Any other error becomes an internal error with the
// verdict MayHaveRun, because it does not tell whether the request took effect.
func toOperatorError(err error) *OperatorError {
	var operatorErr *OperatorError
	if !errors.As(err, &operatorErr) {
		operatorErr = NewOperatorError(tiller.MayHaveRun, operator.ErrorReasonInternal, err.Error())
	}
	return operatorErr
}

func encodeOperatorError(err error) *operator.ErrorStatusCode {
	operatorErr := toOperatorError(err)
	return &operator.ErrorStatusCode{StatusCode: operatorStatuses[operatorErr.Body.Reason], Response: operatorErr.Body}
}

// handleError responds to a request that could not be decoded, and to an error of Status.
func (h *operatorHandler) handleError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	var operatorErr *OperatorError
	if errors.As(err, &operatorErr) {
		e := encodeOperatorError(err)
		writeJSON(w, e.StatusCode, e.Response.Encode)
		return
	}
	status := http.StatusBadRequest
	if r.Method == http.MethodPut {
		status = decodeStatus(r, err)
	}
	h.refuse(w, status, err.Error())
}

// refuse writes the error of a request that was rejected before or while it was decoded.
func (h *operatorHandler) refuse(w http.ResponseWriter, status int, detail string) {
	reason := operator.ErrorReasonBadRequest
	if status == http.StatusNotFound {
		reason = operator.ErrorReasonNotFound
	}
	e := NewOperatorError(tiller.NotRun, reason, detail)
	writeJSON(w, status, e.Body.Encode)
}
