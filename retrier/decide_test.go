package retrier_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/retrier"
)

func ExampleDecide() {
	d := retrier.Decide(retrier.Attempt{
		Verdict: tiller.MayHaveRun, Reason: tiller.ReasonConnectionLost, Now: 10, Deadline: 500,
	})
	fmt.Println(d.Retry, d.Reason)
	// Output: false ConnectionLost
}

// TestDecide guards against a second run of a request that is not repeatable, against retries under
// overload, and against retries that would complete after the deadline.
func TestDecide(t *testing.T) {
	base := retrier.Attempt{Verdict: tiller.NotRun, Reason: tiller.ReasonShed, Now: 100, Deadline: 200, Expected: 10}
	tests := []struct {
		name   string
		change func(*retrier.Attempt)
		retry  bool
		reason tiller.Reason
	}{
		{"not run", func(*retrier.Attempt) {}, true, ""},
		{"may have run, repeatable", func(t *retrier.Attempt) { t.Verdict, t.Repeatable = tiller.MayHaveRun, true }, true, ""},
		{"may have run, not repeatable", func(t *retrier.Attempt) { t.Verdict = tiller.MayHaveRun }, false, tiller.ReasonShed},
		{"ran, not repeatable", func(t *retrier.Attempt) { t.Verdict = tiller.Ran }, false, tiller.ReasonShed},
		{"overloaded", func(t *retrier.Attempt) { t.Overloaded = true }, false, tiller.ReasonRetryBudget},
		{"not before the deadline", func(t *retrier.Attempt) { t.Deadline = 111 }, false, tiller.ReasonShed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			attempt := base
			test.change(&attempt)
			d := retrier.Decide(attempt)
			require.Equal(t, test.retry, d.Retry)
			require.Equal(t, test.reason, d.Reason)
		})
	}
	late := base
	late.Round, late.Random, late.Deadline = 60, 1<<63-1, 10_000
	require.LessOrEqual(t, retrier.Decide(late).At, base.Now+256)
}
