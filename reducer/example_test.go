package reducer_test

import (
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

func ExampleStep() {
	s := reducer.New(reducer.Config{})
	document := cluster{shards: 1, upstreams: 1, replicas: 1, slots: 1}.document()
	reducer.Step(s, reducer.DocumentApplied{Document: document})
	effects := reducer.Step(s, reducer.QueryArrived{
		Stamp: reducer.Stamp{Now: 10},
		From:  reducer.LocalCaller,
		Query: tiller.Query{ID: "q", Caller: "c", Service: "s", Route: "search", Repeatable: true, Deadline: 500},
	})
	for _, e := range effects {
		switch e := e.(type) {
		case reducer.SendAttempt:
			fmt.Println("send to", e.Upstream, "shards", e.Request.Shards, "until", e.Request.Deadline)
		case reducer.Wake:
			fmt.Println("wake at", e.Time)
		}
	}
	// Output:
	// send to u0 shards [s0] until 495
	// wake at 110
}
