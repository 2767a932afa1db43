package retrier

import tiller "github.com/carawaytiller/carawaytiller"

const (
	// baseBackoffMillis is the maximum wait before the first retry. It doubles with each further retry.
	baseBackoffMillis tiller.Millis = 4
	// maxBackoffMillis is the maximum wait before any retry.
	maxBackoffMillis tiller.Millis = 256
)

// Attempt describes a failed attempt to run a request on an upstream.
type Attempt struct {
	Verdict tiller.Verdict
	Reason  tiller.Reason
	// Repeatable is set when the request is idempotent and may run more than once.
	Repeatable bool
	// Round is the number of earlier retries of the request.
	Round int
	// Overloaded is set when retries are disabled because too many requests are queued.
	Overloaded bool
	// Now is the current time, Deadline the time by which the request must be answered, and
	// Expected the typical response time of an attempt.
	Now, Deadline, Expected tiller.Millis
	Random                  uint64
}

// Decision is the result of Decide.
type Decision struct {
	Retry bool
	// At is the time of the retry; 0 when Retry is false.
	At tiller.Millis
	// Reason states why there is no retry: the reason of the failed attempt or, under overload, ReasonRetryBudget.
	Reason tiller.Reason
}

// Decide returns whether and when the request is retried. With the verdict NotRun any request may be
// retried, with MayHaveRun or Ran only a repeatable one. There is no retry under overload, nor when the
// retry is not expected to complete before the deadline.
func Decide(a Attempt) Decision {
	if !MayRetry(a.Verdict, a.Repeatable) {
		return Decision{Reason: a.Reason}
	}
	if a.Overloaded {
		return Decision{Reason: tiller.ReasonRetryBudget}
	}
	at := a.Now + backoff(a.Round, a.Random)
	if at+a.Expected >= a.Deadline {
		return Decision{Reason: a.Reason}
	}
	return Decision{Retry: true, At: at}
}

// MayRetry reports whether a request may be sent to an upstream again after an attempt with the given verdict.
func MayRetry(v tiller.Verdict, repeatable bool) bool {
	return v == tiller.NotRun || repeatable
}

// backoff returns a random wait of at least 1 ms, so that requests that failed at the same time
// are not retried at the same time.
func backoff(retries int, random uint64) tiller.Millis {
	limit := min(baseBackoffMillis<<min(retries, 16), maxBackoffMillis)
	return 1 + tiller.Millis(random%uint64(limit))
}
