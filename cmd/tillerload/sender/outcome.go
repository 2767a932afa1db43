package sender

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
)

// Outcome is what became of a query: exactly one of Answer, Refusal and Lost is set.
type Outcome struct {
	Request planner.Request
	Answer  *caller.Answer
	Refusal *caller.Refusal
	// Lost is why there is no reply.
	Lost error
	// Lag is how much later than intended the query was sent, and Latency the time from the intended start to the outcome.
	Lag, Latency time.Duration
	// IsResend says that the query had been sent before under the same identifier and token.
	IsResend bool
}

// newOutcome sorts the result of a call.
func newOutcome(r planner.Request, answer *caller.Answer, err error) Outcome {
	var refused *caller.RefusalStatusCode
	switch {
	case err == nil:
		return Outcome{Request: r, Answer: answer}
	case errors.As(err, &refused):
		return Outcome{Request: r, Refusal: &refused.Response}
	}
	return Outcome{Request: r, Lost: err}
}

// Cause returns a short name of why there is no reply; empty when there is one.
func (o Outcome) Cause() string {
	var timeout net.Error
	switch {
	case o.Lost == nil:
		return ""
	case errors.Is(o.Lost, errNoDaemon):
		return "NoDaemon"
	case errors.Is(o.Lost, context.DeadlineExceeded), errors.As(o.Lost, &timeout) && timeout.Timeout():
		return "NoReply"
	case errors.Is(o.Lost, syscall.ECONNREFUSED):
		return "ConnectionRefused"
	case errors.Is(o.Lost, syscall.ECONNRESET), errors.Is(o.Lost, io.EOF), errors.Is(o.Lost, io.ErrUnexpectedEOF):
		return "ConnectionLost"
	}
	return "BadReply"
}
