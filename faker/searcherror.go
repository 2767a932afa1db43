package faker

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/carawaytiller/carawaytiller/api/upstream"
)

// retryAfterMillis is the hint that a shed request gets.
const retryAfterMillis = 20

// refuse answers a request that ended without results, or ends it without an answer.
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

// shedError returns the answer to a request that is shed.
func shedError() *upstream.SearchErrorStatusCode {
	answer := searchError(upstream.SearchErrorReasonShed, false, errShed.Error())
	answer.Response.RetryAfterMillis = upstream.NewOptInt64(retryAfterMillis)
	return answer
}

// searchStatus maps the reasons of an upstream to their HTTP status.
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

// searchRequestError answers a request that can't be decoded, and aborts on any other error.
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
