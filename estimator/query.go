package estimator

import (
	"fmt"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// QueryCost is what the decisions for one upstream request cost, at a fan-out.
type QueryCost struct {
	FanOut      int
	Nanoseconds float64
	Allocations float64
	Steps       float64
}

// measureQuery runs queries whose every attempt is answered at once.
func measureQuery(s Size, queries int) QueryCost {
	// One seat makes one unit, so that the cold allowances of all upstreams are its own.
	s.Daemons, s.Services, s.Upstreams = 1, 1, max(2, s.FanOut)
	state := reducer.New(reducer.Config{})
	reducer.Step(state, reducer.DocumentApplied{Document: Document(1, s)})
	run := &queryRun{state: state}
	// The first queries warm the upstreams up and teach the state that the digest is harmless.
	run.queries(200)
	run.requests, run.steps = 0, 0
	var seconds float64
	allocations := allocationsOf(func() {
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

// queryRun feeds a State and answers its attempts, all of them 1 ms after the query arrived.
type queryRun struct {
	state    *reducer.State
	now      tiller.Millis
	next     int
	requests int
	steps    int
	sent     []tiller.SearchRequest
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

// answerAll answers until nothing is outstanding.
func (r *queryRun) answerAll() {
	for len(r.sent) > 0 {
		q := r.sent[0]
		r.sent = r.sent[1:]
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
			r.sent = append(r.sent, send.Request)
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

// decisionCost works out the decisions for all upstream requests of a daemon. It is work on queries, not control.
func decisionCost(s Size, q QueryCost) Cost {
	perDaemon := s.QueriesPerSecond / float64(s.Daemons) * float64(s.FanOut)
	return Cost{
		Mechanism:         "reducer: decisions on queries",
		Slope:             fmt.Sprintf("%.0f ns, %.2f allocations and %.2f steps an upstream request", q.Nanoseconds, q.Allocations, q.Steps),
		CoreShare:         q.Nanoseconds * 1e-9 * perDaemon,
		MessagesPerSecond: perDaemon,
	}
}
