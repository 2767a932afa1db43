package recorder_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/recorder"
)

func ExampleRing() {
	r := recorder.New(100)
	r.Add(recorder.Decision{At: 1, Request: "q1", Kind: recorder.Arrived})
	r.Add(recorder.Decision{At: 2, Request: "q1", Kind: recorder.Refused, Reason: tiller.ReasonQueueFull})
	for _, d := range r.ForRequest("q1") {
		fmt.Printf("%d %s %q\n", d.At, d.Kind, d.Reason)
	}
	// Output:
	// 1 Arrived ""
	// 2 Refused "QueueFull"
}

// Guards against a full ring that loses its newest decisions or returns them out of order.
func TestRingKeepsTheNewestInOrder(t *testing.T) {
	r := recorder.New(5)
	for i := range 13 {
		r.Add(recorder.Decision{At: tiller.Millis(i), Request: tiller.RequestID(fmt.Sprint(i % 2))})
	}
	var at []tiller.Millis
	for _, d := range r.ForRequest("0") {
		at = append(at, d.At)
	}
	require.Equal(t, []tiller.Millis{8, 10, 12}, at)
}
