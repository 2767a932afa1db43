package executor

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// The end of a query must be counted and logged before its client hears of it: a client that asks for
// the metrics after its answer would miss it there.
func TestOutcomeIsObservedBeforeDelivery(t *testing.T) {
	var waiting []int
	var x *Executor
	observer := Observer{
		// Called with the executor's lock held.
		Effect: func(gatherer.Effect) { waiting = append(waiting, len(x.pending)) },
		Answer: func(tiller.Millis, bool) {},
	}
	clock := tiller.FixedClock(0)
	client := forwarder.New(clock, func(http.Header) string { return "" })
	x = New(clock, client, Codec{}, observer, gatherer.New(gatherer.Settings{VM: "vm-1"}))
	ticket := x.Submit(Request{ID: "q-1"}, gatherer.QueryArrived{Path: "/", Deadline: 1000})
	outcome := <-ticket.Done
	require.NotNil(t, outcome.Refused)
	require.Equal(t, []int{1}, waiting)
}
