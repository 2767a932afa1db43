package retrier

import tiller "github.com/carawaytiller/carawaytiller"

const (
	// baseMillis is the longest wait before the first retry; it doubles with each further one.
	baseBackoffMillis tiller.Millis = 4
	// longestMillis bounds the wait before a retry.
	maxBackoffMillis tiller.Millis = 256
)

// Attempt describes a failed request.
type Attempt struct {
	Verdict tiller.Verdict
	Reason  tiller.Reason
	// Repeatable says whether the request may run more than once.
	Repeatable bool
	// Retries is the number of earlier retries.
	Retries int
	// Overloaded says that retries are disabled because too much waits.
	Overloaded bool
	// Now is the present time, Deadline the time at which the answer is given, and
	// Expected the usual response time.
	Now, Deadline, Expected tiller.Millis
	Random                  uint64
}

// Decision says whether a request is sent again.
type Decision struct {
	Retry bool
	// At is the time of the retry.
	At tiller.Millis
	// Reason says why there is none: the reason of the failure, ReasonRetryBudget or ReasonTimeout.
	Reason tiller.Reason
}

// Decide returns whether and when the request may be sent again. After NotRun any request may be,
// after MayHaveRun only a repeatable one, and none that would end after its deadline.
func Decide(a Attempt) Decision {
	if !MayRetry(a.Verdict, a.Repeatable) {
		return Decision{Reason: a.Reason}
	}
	if a.Overloaded {
		return Decision{Reason: tiller.ReasonRetryBudget}
	}
	at := a.Now + backoff(a.Retries, a.Random)
	if at+a.Expected >= a.Deadline {
		return Decision{Reason: a.Reason}
	}
	return Decision{Retry: true, At: at}
}

// MayRetry says whether a request with the given verdict may be sent to an upstream once more.
func MayRetry(v tiller.Verdict, repeatable bool) bool {
	return v == tiller.NotRun || repeatable
}

// wait returns a random time of at least 1 ms, so that requests that failed together do not return together.
func backoff(retries int, random uint64) tiller.Millis {
	limit := min(baseBackoffMillis<<min(retries, 16), maxBackoffMillis)
	return 1 + tiller.Millis(random%uint64(limit))
}
