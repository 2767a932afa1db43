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

// CallerConfig holds the dependencies of the callers' interface. Every field is required.
type CallerConfig struct {
	Clock   tiller.Clock
	Metrics *Metrics
	// Submit runs a query. Its context is cancelled when the caller disconnects.
	Submit func(context.Context, tiller.Query) tiller.Result
	// Token issues a single-use token.
	Token func(context.Context) reducer.IssueToken
	// Ready returns why the daemon accepts no new queries, or an empty string when it accepts them.
	Ready func() string
	// Stopping reports whether the daemon is stopping. Responses then ask for the connection to be closed.
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

// Query runs a query and returns its answer. It returns a refusal as the error.
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

// NewError converts an error that carries no refusal to a refusal with the verdict MayHaveRun.
func (h *callerHandler) NewError(ctx context.Context, err error) *caller.RefusalStatusCode {
	return h.encode(ctx, &tiller.Refusal{
		Verdict: tiller.MayHaveRun,
		Reason:  tiller.ReasonInternal,
		Detail:  err.Error(),
	})
}

// encode converts a refusal to the response of the generated server. For status 429 it also sets Retry-After,
// rounded up to whole seconds, as HTTP requires.
func (h *callerHandler) encode(ctx context.Context, r *tiller.Refusal) *caller.RefusalStatusCode {
	refusal := encodeRefusal(r)
	header, ok := ctx.Value(responseHeaderKey{}).(http.Header)
	if ok && refusal.StatusCode == http.StatusTooManyRequests {
		seconds := max(1, (r.RetryAfter+tiller.Second-1)/tiller.Second)
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	return refusal
}

// handleError responds to a request that the generated server could not decode. It is also called
// when a response could not be written, which cannot be reported to the client.
func (h *callerHandler) handleError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	h.refuse(w, decodeStatus(r, err), err.Error())
}

// decodeStatus returns the status of a request that could not be decoded: 415 for a wrong, missing or malformed
// media type, else 400.
func decodeStatus(r *http.Request, err error) int {
	var wrongType *validate.InvalidContentTypeError
	_, _, parseErr := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if errors.As(err, &wrongType) || parseErr != nil {
		return http.StatusUnsupportedMediaType
	}
	return http.StatusBadRequest
}

// refuse writes and counts the refusal of a request that was rejected before it became a query.
func (h *callerHandler) refuse(w http.ResponseWriter, status int, detail string) {
	h.cfg.Metrics.Count("refusal", tiller.ReasonBadRequest, 1)
	refusal := encodeRefusal(&tiller.Refusal{Reason: tiller.ReasonBadRequest, Detail: detail})
	writeJSON(w, status, refusal.Response.Encode)
}

// writeJSON writes the output of encode as a JSON response with the given status.
func writeJSON(w http.ResponseWriter, status int, encode func(*jx.Encoder)) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	e := new(jx.Encoder)
	encode(e)
	// An error means that the client has disconnected, so it cannot be reported.
	_, _ = w.Write(e.Bytes())
}
