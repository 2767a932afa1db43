package server

import (
	"context"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"strconv"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/validate"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// CallerConfig holds what the callers' interface depends on. Every field is required.
type CallerConfig struct {
	Clock   tiller.Clock
	Metrics *Metrics
	// Submit runs a query; its context ends when the caller goes away.
	Submit func(context.Context, tiller.Query) tiller.Result
	// Token issues a single-use token.
	Token func(context.Context) reducer.IssueToken
	// Ready returns why the daemon takes no new work; empty when it does.
	Ready func() string
	// Stopping says that the daemon stops, so that callers should close their connections.
	Stopping func() bool
}

// NewCaller returns the handler of the callers' interface.
func NewCaller(cfg CallerConfig) (http.Handler, error) {
	h := &callerHandler{cfg: cfg}
	m := &middleware{
		pages:          pages{metrics: cfg.Metrics, ready: cfg.Ready},
		clock:          cfg.Clock,
		maxBytes:       maxCallerBytes,
		bodyReadMillis: bodyTimeoutMillis,
		stopping:       cfg.Stopping,
		refuse:         h.refuse,
	}
	next, err := caller.NewServer(
		h,
		caller.WithNotFound(m.notFound),
		caller.WithMethodNotAllowed(m.notAllowed),
		caller.WithErrorHandler(h.handleError),
	)
	if err != nil {
		return nil, fmt.Errorf("build caller interface: %w", err)
	}
	m.next = next
	return m, nil
}

// callerHandler implements the generated caller.Handler.
type callerHandler struct {
	cfg CallerConfig
}

// Query runs a query and returns its answer, or its refusal as the error.
func (h *callerHandler) Query(ctx context.Context, q *caller.Query) (*caller.Answer, error) {
	arrived := arrivalOf(ctx)
	if q.DeadlineMillis <= 0 {
		refusal := &tiller.Refusal{
			ID:     tiller.RequestID(q.ID),
			Reason: tiller.ReasonDeadlinePast,
			Detail: "DeadlineMillis is not positive",
		}
		h.cfg.Metrics.Count("refusal", refusal.Reason, 1)
		return nil, h.encode(ctx, refusal)
	}
	result := h.cfg.Submit(ctx, decodeQuery(q, arrived))
	h.cfg.Metrics.Observe("query_millis", h.cfg.Clock.Now()-arrived)
	if result.Answer == nil {
		return nil, h.encode(ctx, result.Refusal)
	}
	h.cfg.Metrics.Count("answer", "", 1)
	return encodeAnswer(result.Answer), nil
}

// IssueToken issues a single-use token.
func (h *callerHandler) IssueToken(ctx context.Context) (*caller.Token, error) {
	issued := h.cfg.Token(ctx)
	if issued.Refusal != nil {
		return nil, h.encode(ctx, issued.Refusal)
	}
	remaining := issued.Expires - h.cfg.Clock.Now()
	return &caller.Token{Token: issued.Token, ExpiresMillis: int64(remaining)}, nil
}

// NewError translates an error without a refusal.
func (h *callerHandler) NewError(ctx context.Context, err error) *caller.RefusalStatusCode {
	return h.encode(ctx, &tiller.Refusal{
		Verdict: tiller.MayHaveRun,
		Reason:  tiller.ReasonInternal,
		Detail:  err.Error(),
	})
}

// encode translates a refusal and sets its Retry-After, in whole seconds as HTTP asks for.
func (h *callerHandler) encode(ctx context.Context, r *tiller.Refusal) *caller.RefusalStatusCode {
	refusal := encodeRefusal(r)
	header, ok := ctx.Value(responseHeaderKey{}).(http.Header)
	if ok && refusal.StatusCode == http.StatusTooManyRequests {
		seconds := max(1, (r.RetryAfter+tiller.Second-1)/tiller.Second)
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	return refusal
}

// handleError answers a request that the generated server could not decode, or whose answer
// it could not write; nothing can be done about the latter.
func (h *callerHandler) handleError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	h.refuse(w, decodeStatus(r, err), err.Error())
}

// decodeStatus tells a body of the wrong media type from a malformed one.
func decodeStatus(r *http.Request, err error) int {
	var wrongType *validate.InvalidContentTypeError
	_, _, parseErr := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if errors.As(err, &wrongType) || parseErr != nil {
		return http.StatusUnsupportedMediaType
	}
	return http.StatusBadRequest
}

// refuse writes a refusal of a request that never became a query.
func (h *callerHandler) refuse(w http.ResponseWriter, status int, detail string) {
	h.cfg.Metrics.Count("refusal", tiller.ReasonBadRequest, 1)
	refusal := encodeRefusal(&tiller.Refusal{Reason: tiller.ReasonBadRequest, Detail: detail})
	writeJSON(w, status, refusal.Response.Encode)
}

// writeJSON writes what encode encodes.
func writeJSON(w http.ResponseWriter, status int, encode func(*jx.Encoder)) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	e := new(jx.Encoder)
	encode(e)
	// The client may be gone; there is nobody left to tell.
	_, _ = w.Write(e.Bytes())
}
