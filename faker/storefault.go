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
	// Outage answers every call, and every watch that waits, with Unavailable.
	Outage bool
	// LatencyMillis is added before each call takes effect.
	LatencyMillis tiller.Millis
	// LoseReplies is the number of writes of keys that are still to take effect
	// while their connection is closed without an answer.
	LoseReplies int
	// StaleReads answers each read of a key as it was before its last change. Watches stay accurate.
	StaleReads bool
}

// statusOf maps the reasons of the platform to their HTTP status.
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

// requestError answers a request that the generated server can't decode, and aborts on any other error.
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

// isValueTooLong reports whether err is about the length of the Value of a write.
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
