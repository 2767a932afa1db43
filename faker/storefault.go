package faker

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/platform"
)

// StoreFaults are the faults of a Store that can be changed while it runs. The zero value has none.
type StoreFaults struct {
	// Outage answers every call, including watches already waiting, with Unavailable.
	Outage bool
	// LatencyMillis is the delay before each call takes effect.
	LatencyMillis tiller.Millis
	// LoseReplies is the number of upcoming successful key writes whose connection is closed
	// without a response after the write has taken effect.
	LoseReplies int
	// StaleReads answers each read with the entry before the key's last change. Watches are not affected.
	StaleReads bool
}

// statusOf maps the error reasons of the store to HTTP statuses.
var statusOf = map[platform.StoreErrorReason]int{
	platform.StoreErrorReasonNotFound:    http.StatusNotFound,
	platform.StoreErrorReasonConflict:    http.StatusConflict,
	platform.StoreErrorReasonTooLarge:    http.StatusRequestEntityTooLarge,
	platform.StoreErrorReasonRateLimited: http.StatusTooManyRequests,
	platform.StoreErrorReasonUnavailable: http.StatusServiceUnavailable,
	platform.StoreErrorReasonLeaseEnded:  http.StatusGone,
	platform.StoreErrorReasonBadRequest:  http.StatusBadRequest,
}

func storeError(reason platform.StoreErrorReason, detail string) *platform.StoreErrorStatusCode {
	return &platform.StoreErrorStatusCode{
		StatusCode: statusOf[reason],
		Response:   platform.StoreError{Reason: reason, Detail: platform.NewOptString(detail)},
	}
}

func conflict(version int64) *platform.StoreErrorStatusCode {
	err := storeError(platform.StoreErrorReasonConflict, "the key has another version")
	err.Response.Version = platform.NewOptInt64(version)
	return err
}

// requestError answers an error of the generated server: TooLarge when the value of a write is too long,
// else BadRequest. It aborts the handler without a response when the handler aborted or the request's context ended.
func requestError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	if errors.Is(err, http.ErrAbortHandler) || ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	answer := storeError(platform.StoreErrorReasonBadRequest, err.Error())
	if isValueTooLong(err) {
		answer = storeError(platform.StoreErrorReasonTooLarge, err.Error())
	}
	body, err := answer.Response.MarshalJSON()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(answer.StatusCode)
	_, _ = w.Write(body)
}

// isValueTooLong reports whether err is a validation error for the Value of a write, whose length is limited.
func isValueTooLong(err error) bool {
	var request *ogenerrors.DecodeRequestError
	var invalid *validate.Error
	if !errors.As(err, &request) || !errors.As(err, &invalid) {
		return false
	}
	for _, field := range invalid.Fields {
		if field.Name == "Value" {
			return true
		}
	}
	return false
}
