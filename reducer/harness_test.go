package reducer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// sim simulates one daemon: it runs a State against fake upstreams in virtual time.
// All random numbers come from the seed.
type sim struct {
	t         testing.TB
	now       tiller.Millis
	rng       *rand.Rand
	state     *reducer.State
	inspector *inspector
	upstreams map[string]*fakeUpstream
	document  *tiller.Document
	// oneWayLatency is the one-way latency to upstreams.
	oneWayLatency tiller.Millis
	// restartReportDelay is the time from the loss of an upstream's connections to the UpstreamRestarted event.
	restartReportDelay tiller.Millis
	// intercept, if set, may change the effects of a step before they are inspected and executed.
	intercept func([]reducer.Effect) []reducer.Effect
	// manual turns off the execution of effects. The test reads them from lastEffects and delivers the outcomes.
	manual      bool
	lastEffects []reducer.Effect
	// onForward, if set, handles Forward effects.
	onForward func(reducer.Forward)

	calls        callQueue
	lastSequence uint64
	// wakeCount counts the Wake effects. Only the last one leads to a TimeAdvanced event.
	wakeCount uint64
	// wakeAt is the time of the outstanding Wake; 0 if there is none.
	wakeAt    tiller.Millis
	steps     int
	nextRef   uint64
	results   map[uint64]tiller.Result
	latencies map[uint64]tiller.Millis
	arrivals  map[uint64]tiller.Millis
	tokens    []string
	counts    map[string]int64
	stopped   bool
	// ignoreCancels drops CancelAttempt effects, so that upstreams continue to run cancelled attempts.
	ignoreCancels bool
}

func newSim(t testing.TB, seed uint64, d *tiller.Document, cfg reducer.Config) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), state: reducer.New(cfg), document: d, oneWayLatency: 1, now: 1000,
		upstreams: map[string]*fakeUpstream{}, results: map[uint64]tiller.Result{}, latencies: map[uint64]tiller.Millis{},
		arrivals: map[uint64]tiller.Millis{}, counts: map[string]int64{},
	}
	s.inspector = newInspector()
	for _, u := range d.Upstreams {
		s.upstreams[u.Name] = newFakeUpstream(s, u)
	}
	s.applyDocument(d)
	return s
}

func (s *sim) applyDocument(d *tiller.Document) {
	s.document = d
	s.step(reducer.DocumentApplied{Stamp: s.stamp(), Document: d})
}

// applyChange applies f to a copy of the document and puts the copy in force with the next revision.
func (s *sim) applyChange(f func(*tiller.Document)) {
	d := *s.document
	d.Revision++
	d.Domains = slices.Clone(d.Domains)
	d.Upstreams = slices.Clone(d.Upstreams)
	d.Services = slices.Clone(d.Services)
	f(&d)
	s.applyDocument(&d)
}

func (s *sim) stamp() reducer.Stamp { return reducer.Stamp{Now: s.now, Random: s.rng.Uint64()} }

// step passes an event to the reducer, inspects the effects and, unless manual is set, executes them.
func (s *sim) step(e reducer.Event) {
	s.steps++
	effects := reducer.Step(s.state, e)
	s.requireWake(e, effects)
	if s.intercept != nil {
		effects = s.intercept(effects)
	}
	s.inspector.observe(s, e, effects)
	s.lastEffects = effects
	if s.manual {
		return
	}
	for _, effect := range effects {
		s.execute(effect)
	}
}

// requireWake checks that a Wake is outstanding whenever a timer or a lease tick is due. TimeAdvanced uses up the
// outstanding one, and a Wake replaces it.
func (s *sim) requireWake(e reducer.Event, effects []reducer.Effect) {
	if _, ok := e.(reducer.TimeAdvanced); ok {
		s.wakeAt = 0
	}
	for _, w := range effectsOf[reducer.Wake](effects) {
		s.wakeAt = w.Time
	}
	if at, ok := s.state.NextDue(); ok {
		at = max(at, s.now+1)
		require.True(s.t, s.wakeAt > 0 && s.wakeAt <= at, "after %T: work is due at %d, the outstanding Wake is at %d", e, at, s.wakeAt)
	}
}

func (s *sim) execute(effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.SendAttempt:
		u := s.upstreams[e.Upstream]
		s.after(s.oneWayLatency, func() { u.receive(e.Request) })
	case reducer.CancelAttempt:
		if !s.ignoreCancels {
			s.after(s.oneWayLatency, func() { s.cancel(e.Attempt) })
		}
	case reducer.Reply:
		s.results[e.Ref] = e.Result
		s.latencies[e.Ref] = s.now - s.arrivals[e.Ref]
	case reducer.Wake:
		s.wakeCount++
		wake := s.wakeCount
		s.at(e.Time, func() {
			if wake == s.wakeCount {
				s.step(reducer.TimeAdvanced{Stamp: s.stamp()})
			}
		})
	case reducer.IssueToken:
		s.tokens = append(s.tokens, e.Token)
	case reducer.Forward:
		if s.onForward != nil {
			s.onForward(e)
		}
	case reducer.Count:
		s.counts[e.Name] += e.N
	case reducer.Stopped:
		s.stopped = true
	}
}

func (s *sim) cancel(id tiller.AttemptID) {
	if a, ok := s.inspector.attempts[id]; ok {
		delete(s.upstreams[a.effect.Upstream].running, id)
	}
}

// submit sends a query of a local caller and returns its reference, the key of its entry in results.
func (s *sim) submit(q tiller.Query) uint64 { return s.submitFrom(q, reducer.LocalCaller) }

func (s *sim) submitFrom(q tiller.Query, from int) uint64 {
	s.nextRef++
	ref := s.nextRef
	if q.ID == "" {
		q.ID = tiller.RequestID(fmt.Sprint("q", ref))
	}
	if q.Body == nil {
		q.Body = []byte(q.ID)
	}
	s.arrivals[ref] = s.now
	s.step(reducer.QueryArrived{Stamp: s.stamp(), Query: q, From: from, Ref: ref})
	return ref
}

func (s *sim) at(at tiller.Millis, do func()) {
	s.lastSequence++
	heap.Push(&s.calls, scheduledCall{at: max(at, s.now), sequence: s.lastSequence, call: do})
}

func (s *sim) after(d tiller.Millis, do func()) { s.at(s.now+d, do) }

// run advances the virtual time to until, and fails the test if the inspector has found a violation.
func (s *sim) run(until tiller.Millis) {
	s.runUnchecked(until)
	require.Empty(s.t, s.inspector.violations)
}

func (s *sim) runUnchecked(until tiller.Millis) {
	for len(s.calls) > 0 && s.calls[0].at <= until {
		e := heap.Pop(&s.calls).(scheduledCall)
		s.now = e.at
		e.call()
	}
	s.now = max(s.now, until)
}

// load schedules queries made by q for a length of time. The intervals are exponentially distributed,
// with perSecond queries per second on average.
func (s *sim) load(perSecond float64, length tiller.Millis, q func() tiller.Query) {
	end := s.now + length
	at := float64(s.now)
	for {
		at += s.rng.ExpFloat64() * 1000 / perSecond
		if tiller.Millis(at) >= end {
			return
		}
		s.at(tiller.Millis(at), func() { s.submit(q()) })
	}
}

// summary counts the results of queries. The latencies are those of complete answers, in ascending order.
type summary struct {
	submitted, answered, complete int
	refusals                      map[tiller.Reason]int
	latencies                     []tiller.Millis
}

// summarize returns the summary of the queries with references in the range from..to for which include
// returns true. A nil include selects all of them.
func (s *sim) summarize(from, to uint64, include func(ref uint64) bool) summary {
	sum := summary{refusals: map[tiller.Reason]int{}}
	for ref := from; ref <= to; ref++ {
		if include != nil && !include(ref) {
			continue
		}
		sum.submitted++
		r, ok := s.results[ref]
		switch {
		case !ok:
			sum.refusals["no reply"]++
		case r.Refusal != nil:
			sum.refusals[r.Refusal.Reason]++
		default:
			sum.answered++
			if r.Answer.Coverage.Answered == r.Answer.Coverage.Asked {
				sum.complete++
				sum.latencies = append(sum.latencies, s.latencies[ref])
			}
		}
	}
	slices.Sort(sum.latencies)
	return sum
}

// quantile returns the p-quantile of the latencies in milliseconds, 0 if there are none; p is between 0 and 1.
func (sum summary) quantile(p float64) tiller.Millis {
	if len(sum.latencies) == 0 {
		return 0
	}
	return sum.latencies[min(int(p*float64(len(sum.latencies))), len(sum.latencies)-1)]
}

type scheduledCall struct {
	at       tiller.Millis
	sequence uint64
	call     func()
}

// callQueue is a heap of calls, ordered by time and then by the sequence in which they were scheduled.
type callQueue []scheduledCall

func (a callQueue) Len() int { return len(a) }
func (a callQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a callQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *callQueue) Push(x any)   { *a = append(*a, x.(scheduledCall)) }
func (a *callQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// effectsOf returns the effects of type T.
func effectsOf[T reducer.Effect](effects []reducer.Effect) []T {
	var found []T
	for _, e := range effects {
		if e, ok := e.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

// onlyEffect returns the effect of type T of the last step. It fails the test unless there is exactly one.
func onlyEffect[T reducer.Effect](s *sim) T {
	s.t.Helper()
	found := effectsOf[T](s.lastEffects)
	require.Len(s.t, found, 1)
	return found[0]
}

// respond delivers a valid response to an attempt.
func (s *sim) respond(a reducer.SendAttempt) {
	resp := tiller.SearchResponse{ID: a.Request.ID, Attempt: a.Request.Attempt, Snapshot: a.Request.Snapshot, Incarnation: 1}
	for _, sh := range a.Request.Shards {
		resp.Shards = append(resp.Shards, tiller.ShardItems{Shard: sh, Items: itemsOf(a.Request.Snapshot, sh)})
	}
	s.step(reducer.ResponseArrived{Stamp: s.stamp(), Attempt: a.Request.Attempt, Response: resp})
}

// fail ends an attempt without a response.
func (s *sim) fail(a reducer.SendAttempt, v tiller.Verdict, reason tiller.Reason) {
	s.step(reducer.AttemptFailed{Stamp: s.stamp(), Attempt: a.Request.Attempt, Verdict: v, Reason: reason})
}

// advance advances the virtual time by d and delivers TimeAdvanced.
func (s *sim) advance(d tiller.Millis) {
	s.now += d
	s.step(reducer.TimeAdvanced{Stamp: s.stamp()})
}
