package faker

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/carawaytiller/carawaytiller/api/upstream"
)

// retryAfterMillis is the retry hint, in milliseconds, in the answer to a shed request.
const retryAfterMillis = 20

// refuse returns the answer to a request that ended without results. It returns an error, so that no response
// is sent, when the upstream crashed or was closed or the client went away.
func (u *Upstream) refuse(err error, ran bool) (upstream.SearchRes, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case errors.Is(err, errShed):
		u.counts.Shed++
		return shedError(), nil
	case errors.Is(err, errDeadline):
		u.counts.TimedOut++
		return searchError(upstream.SearchErrorReasonTimeout, ran, err.Error()), nil
	case errors.Is(err, errCrashed):
		u.counts.Crashed++
		return nil, err
	case errors.Is(err, errClosed):
		return nil, err
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		u.counts.Cancelled++
		return nil, err
	}
	u.counts.Failed++
	return searchError(upstream.SearchErrorReasonUpstreamError, ran, err.Error()), nil
}

// shedError returns the answer to a shed request, with a retry hint.
func shedError() *upstream.SearchErrorStatusCode {
	answer := searchError(upstream.SearchErrorReasonShed, false, errShed.Error())
	answer.Response.RetryAfterMillis = upstream.NewOptInt64(retryAfterMillis)
	return answer
}

// searchStatus maps the refusal reasons of an upstream to HTTP statuses.
var searchStatus = map[upstream.SearchErrorReason]int{
	upstream.SearchErrorReasonShed:          http.StatusServiceUnavailable,
	upstream.SearchErrorReasonDraining:      http.StatusServiceUnavailable,
	upstream.SearchErrorReasonNoSnapshot:    http.StatusNotFound,
	upstream.SearchErrorReasonNoShard:       http.StatusNotFound,
	upstream.SearchErrorReasonTimeout:       http.StatusGatewayTimeout,
	upstream.SearchErrorReasonUpstreamError: http.StatusInternalServerError,
}

func searchError(reason upstream.SearchErrorReason, ran bool, detail string) *upstream.SearchErrorStatusCode {
	return &upstream.SearchErrorStatusCode{
		StatusCode: searchStatus[reason],
		Response:   upstream.SearchError{Reason: reason, Ran: ran, Detail: upstream.NewOptString(detail)},
	}
}

// searchRequestError answers 400 Bad Request to a request that can't be decoded, and aborts the handler
// on any other error.
func searchRequestError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	var request *ogenerrors.DecodeRequestError
	if !errors.As(err, &request) {
		panic(http.ErrAbortHandler)
	}
	body, err := searchError(upstream.SearchErrorReasonUpstreamError, false, err.Error()).Response.MarshalJSON()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(http.StatusBadRequest)
	_, _ = w.Write(body)
}
