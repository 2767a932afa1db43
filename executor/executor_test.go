package executor

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/accountant"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// The outcome of a query must be observed before it is delivered. Otherwise a client that reads the
// metrics right after its response would not find its query counted.
func TestOutcomeIsObservedBeforeDelivery(t *testing.T) {
	var pendingCounts []int
	var x *Executor
	observer := Observer{
		// Called with the executor's lock held, so reading pending is safe.
		Effect: func(gatherer.Effect) { pendingCounts = append(pendingCounts, len(x.pending)) },
		Answer: func(tiller.Millis, bool) {},
	}
	clock := tiller.FixedClock(0)
	account := accountant.New(1<<20, func(int64) {})
	client := forwarder.New(clock, account, func(http.Header) string { return "" })
	x = New(clock, client, Codec{}, observer, gatherer.New(gatherer.Settings{VM: "vm-1"}))
	ticket := x.Submit(Request{ID: "q-1"}, gatherer.QueryArrived{Path: "/", Deadline: 1000})
	outcome := <-ticket.Done
	require.NotNil(t, outcome.Refused)
	require.Equal(t, []int{1}, pendingCounts)
}
