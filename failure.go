package carawaytiller

import "fmt"

// Failure is the error type of the project. Its Verdict states whether the request may have run.
type Failure struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the delay before a retry that the upstream asked for; 0 when it gave none.
	RetryAfter Millis
	// Err is the underlying error; it may be nil.
	Err error
}

// NewFailure returns a Failure with the given verdict, reason and cause.
func NewFailure(v Verdict, r Reason, err error) *Failure {
	return &Failure{Verdict: v, Reason: r, Err: err}
}

// Error returns the verdict, the reason and the cause in one line.
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("%s: %s", f.Verdict, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %v", f.Verdict, f.Reason, f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error {
	return f.Err
}
