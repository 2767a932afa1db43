package runner_test

import (
	"context"
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/runner"
)

func ExampleRunner_Submit() {
	step := func(e reducer.Event) []reducer.Effect {
		q, ok := e.(reducer.QueryArrived)
		if !ok {
			return nil
		}
		refusal := &tiller.Refusal{ID: q.Query.ID, Verdict: tiller.NotRun, Reason: tiller.ReasonNoOwner}
		result := tiller.Result{Refusal: refusal}
		return []reducer.Effect{reducer.Reply{Caller: q.Query.Caller, ID: q.Query.ID, To: q.From, Ref: q.Ref, Result: result}}
	}
	clock := tiller.SystemClock()
	r := runner.New(runner.Config{Clock: clock, Step: step})
	defer r.Close()
	q := tiller.Query{ID: "q1", Caller: "desk", Deadline: clock.Now() + tiller.Second}
	result := r.Submit(context.Background(), q)
	fmt.Println(result.Refusal.Verdict, result.Refusal.Reason)
	// Output: NotRun NoOwner
}
