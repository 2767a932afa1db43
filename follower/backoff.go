package follower

import (
	"context"
	"math/rand/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

// backoff is the pause after a failed call. It doubles from retryMillis up to longest.
type backoff struct{ next, longest tiller.Millis }

func newBackoff(longest tiller.Millis) *backoff { return &backoff{next: retryMillis, longest: longest} }

// reset restores the initial pause after a successful call.
func (b *backoff) reset() { b.next = retryMillis }

// wait pauses for 50 to 150 percent of the current pause, chosen at random, or until ctx ends. Then it
// doubles the pause.
func (b *backoff) wait(ctx context.Context) {
	sleep(ctx, b.next/2+tiller.Millis(rand.Int64N(int64(b.next))))
	b.next = min(2*b.next, b.longest)
}
