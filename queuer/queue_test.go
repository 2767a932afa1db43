package queuer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/queuer"
)

func ExampleQueue() {
	q := queuer.New(10)
	q.Push(queuer.Entry{Handle: 1, Caller: "large", Deadline: 50, Cost: 4})
	q.Push(queuer.Entry{Handle: 2, Caller: "large", Deadline: 40, Cost: 4})
	q.Push(queuer.Entry{Handle: 3, Caller: "small", Deadline: 90, Cost: 4})
	for q.Len() > 0 {
		e, _, _ := q.Pop()
		fmt.Print(e.Handle, " ")
	}
	// Output: 2 3 1
}

// A caller that fills the queue must not block the queries of other callers.
func TestFullQueueEvictsFromTheLargestCaller(t *testing.T) {
	q := queuer.New(3)
	for i := range 3 {
		_, full := q.Push(queuer.Entry{Handle: uint64(i), Caller: "large", Deadline: tiller.Millis(i), Cost: 1})
		require.False(t, full)
	}
	dropped, full := q.Push(queuer.Entry{Handle: 10, Caller: "small", Cost: 1})
	require.True(t, full)
	require.Equal(t, "large", dropped.Caller)
	dropped, full = q.Push(queuer.Entry{Handle: 11, Caller: "large", Cost: 1})
	require.True(t, full)
	require.EqualValues(t, 11, dropped.Handle)
	require.Equal(t, 3, q.Len())
}

// A caller whose flow becomes empty between its queries must not overtake a caller that is already queued.
func TestEmptyFlowKeepsItsStartTag(t *testing.T) {
	q := queuer.New(10)
	q.Push(queuer.Entry{Handle: 1, Caller: "a", Cost: 8})
	_, _, _ = q.Pop()
	q.Push(queuer.Entry{Handle: 2, Caller: "b", Cost: 8})
	q.Push(queuer.Entry{Handle: 3, Caller: "a", Cost: 8})
	e, tag, _ := q.Pop()
	require.EqualValues(t, 2, e.Handle)
	q.AdvanceVirtualTime(tag)
	e, _, _ = q.Pop()
	require.EqualValues(t, 3, e.Handle)
}

// Guards against lost or duplicated entries, and against served costs of two backlogged callers that
// differ by more than the cost of one entry of each.
func TestFairSharesWithoutLossOrDuplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queuer.New(40)
		queued := map[uint64]string{}
		served := map[string]int{}
		handle := uint64(0)
		for _, caller := range []string{"a", "b"} {
			for range 15 {
				handle++
				q.Push(queuer.Entry{Handle: handle, Caller: caller, Cost: rapid.IntRange(1, 5).Draw(t, "cost")})
				queued[handle] = caller
			}
		}
		for range rapid.IntRange(0, 14).Draw(t, "served") {
			e, tag, ok := q.Pop()
			require.True(t, ok)
			require.Contains(t, queued, e.Handle)
			delete(queued, e.Handle)
			q.AdvanceVirtualTime(tag)
			served[e.Caller] += e.Cost
			require.LessOrEqual(t, served["a"]-served["b"], 10)
			require.LessOrEqual(t, served["b"]-served["a"], 10)
		}
		for h := range queued {
			require.True(t, q.Remove(h))
			require.False(t, q.Remove(h))
		}
		require.Equal(t, 0, q.Len())
		require.Equal(t, 0, q.CostAhead("a", 5))
	})
}
