package estimator

import (
	"fmt"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// QueryCost is the cost of the reducer's decisions per upstream request, at a given fan-out.
type QueryCost struct {
	FanOut      int
	Nanoseconds float64
	Allocations float64
	Steps       float64
}

// measureQuery measures queries whose attempts are all answered without delay.
func measureQuery(s Size, queries int) QueryCost {
	// With one seat there is one unit, which gets the whole cold allowance of each upstream.
	s.Daemons, s.Services, s.Upstreams = 1, 1, max(2, s.FanOut)
	state := reducer.New(reducer.Config{})
	reducer.Step(state, reducer.DocumentApplied{Document: Document(1, s)})
	run := &queryRun{state: state}
	// These queries are not measured. They warm up the upstreams, and from them the state learns that the
	// digest is harmless.
	run.queries(200)
	run.requests, run.steps = 0, 0
	var seconds float64
	allocations := countAllocations(func() {
		start := time.Now()
		run.queries(queries)
		seconds = time.Since(start).Seconds()
	})
	requests := float64(max(run.requests, 1))
	return QueryCost{
		FanOut:      s.FanOut,
		Nanoseconds: seconds * 1e9 / requests,
		Allocations: allocations / requests,
		Steps:       float64(run.steps) / requests,
	}
}

// queryRun submits queries to a State and answers all attempts 1 ms after the query arrived.
type queryRun struct {
	state       *reducer.State
	now         tiller.Millis
	next        int
	requests    int
	steps       int
	outstanding []tiller.SearchRequest
}

func (r *queryRun) queries(n int) {
	for range n {
		r.next++
		r.now += 2
		r.step(reducer.QueryArrived{
			Stamp: reducer.Stamp{Now: r.now, Random: uint64(r.next)},
			Query: tiller.Query{
				ID: tiller.RequestID(fmt.Sprint("q", r.next)), Caller: "c", Service: "service-000", Route: "search",
				Body: []byte("{}"), Deadline: r.now + 400, NeededCoverage: -1, Repeatable: true,
			},
			From: reducer.LocalCaller,
		})
		r.now++
		r.answerAll()
	}
}

// answerAll answers attempts until none is outstanding.
func (r *queryRun) answerAll() {
	for len(r.outstanding) > 0 {
		q := r.outstanding[0]
		r.outstanding = r.outstanding[1:]
		r.answer(q)
	}
}

func (r *queryRun) step(e reducer.Event) {
	r.steps++
	// The effects of a step are valid only until the next one.
	effects := append([]reducer.Effect(nil), reducer.Step(r.state, e)...)
	for _, effect := range effects {
		if send, ok := effect.(reducer.SendAttempt); ok {
			r.requests++
			r.outstanding = append(r.outstanding, send.Request)
		}
	}
}

func (r *queryRun) answer(q tiller.SearchRequest) {
	response := tiller.SearchResponse{ID: q.ID, Attempt: q.Attempt, Snapshot: q.Snapshot, Incarnation: 1}
	for _, shard := range q.Shards {
		response.Shards = append(response.Shards, tiller.ShardItems{Shard: shard})
	}
	r.step(reducer.ResponseArrived{
		Stamp:    reducer.Stamp{Now: r.now, Random: uint64(r.now)},
		Attempt:  q.Attempt,
		Response: response,
	})
}

// queryDecisionCost calculates the cost of the decisions for all upstream requests of a daemon. It counts as work on
// queries, not as control.
func queryDecisionCost(s Size, q QueryCost) Cost {
	perDaemon := s.QueriesPerSecond / float64(s.Daemons) * float64(s.FanOut)
	return Cost{
		Mechanism:         "reducer: decisions on queries",
		Slope:             fmt.Sprintf("%.0f ns, %.2f allocations and %.2f steps an upstream request", q.Nanoseconds, q.Allocations, q.Steps),
		CoreShare:         q.Nanoseconds * 1e-9 * perDaemon,
		MessagesPerSecond: perDaemon,
	}
}
