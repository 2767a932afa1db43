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

// sim runs one State against fake upstreams in virtual time. All chance comes from the seed.
type sim struct {
	t         testing.TB
	now       tiller.Millis
	rng       *rand.Rand
	state     *reducer.State
	inspect   *inspector
	upstreams map[string]*fake
	document  *tiller.Document
	// hop is the one-way latency to upstreams.
	hop tiller.Millis
	// reportAfter is the time from the loss of connections to the sign that the upstream is lost.
	reportAfter tiller.Millis
	// tamper plants a fault between the reducer and the inspector.
	tamper func([]reducer.Effect) []reducer.Effect
	// manual leaves the effects to the test, which finds them in last.
	manual bool
	last   []reducer.Effect
	// onForward answers forwarded queries.
	onForward func(reducer.Forward)

	agenda  agenda
	order   uint64
	wakes   uint64
	steps   int
	nextRef uint64
	results map[uint64]tiller.Result
	taken   map[uint64]tiller.Millis
	arrived map[uint64]tiller.Millis
	tokens  []string
	counts  map[string]int64
	stopped bool
	// ignoreCancels keeps upstreams from hearing of cancellations.
	ignoreCancels bool
}

func newSim(t testing.TB, seed uint64, d *tiller.Document, cfg reducer.Config) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), state: reducer.New(cfg), document: d, hop: 1, now: 1000,
		upstreams: map[string]*fake{}, results: map[uint64]tiller.Result{}, taken: map[uint64]tiller.Millis{},
		arrived: map[uint64]tiller.Millis{}, counts: map[string]int64{},
	}
	s.inspect = newInspector()
	for _, u := range d.Upstreams {
		s.upstreams[u.Name] = newFake(s, u)
	}
	s.apply(d)
	return s
}

// apply puts a document in force.
func (s *sim) apply(d *tiller.Document) {
	s.document = d
	s.step(reducer.DocumentApplied{Stamp: s.stamp(), Document: d})
}

// change puts a copy of the document in force, with a higher revision and the change made to it.
func (s *sim) change(f func(*tiller.Document)) {
	d := *s.document
	d.Revision++
	d.Domains = slices.Clone(d.Domains)
	d.Upstreams = slices.Clone(d.Upstreams)
	d.Services = slices.Clone(d.Services)
	f(&d)
	s.apply(&d)
}

func (s *sim) stamp() reducer.Stamp { return reducer.Stamp{Now: s.now, Random: s.rng.Uint64()} }

// step gives an event to the reducer and carries out the effects.
func (s *sim) step(e reducer.Event) {
	s.steps++
	effects := reducer.Step(s.state, e)
	if s.tamper != nil {
		effects = s.tamper(effects)
	}
	s.inspect.see(s, e, effects)
	s.last = effects
	if s.manual {
		return
	}
	for _, effect := range effects {
		s.carryOut(effect)
	}
}

func (s *sim) carryOut(effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.SendAttempt:
		u := s.upstreams[e.Upstream]
		s.after(s.hop, func() { u.receive(e.Request) })
	case reducer.CancelAttempt:
		if !s.ignoreCancels {
			s.after(s.hop, func() { s.cancel(e.Attempt) })
		}
	case reducer.Reply:
		s.results[e.Ref] = e.Result
		s.taken[e.Ref] = s.now - s.arrived[e.Ref]
	case reducer.Wake:
		s.wakes++
		wake := s.wakes
		s.at(e.Time, func() {
			if wake == s.wakes {
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
	if a, ok := s.inspect.attempts[id]; ok {
		delete(s.upstreams[a.effect.Upstream].running, id)
	}
}

// ask sends a query and returns the reference under which its result will be.
func (s *sim) ask(q tiller.Query) uint64 { return s.askFrom(q, reducer.LocalCaller) }

func (s *sim) askFrom(q tiller.Query, from int) uint64 {
	s.nextRef++
	ref := s.nextRef
	if q.ID == "" {
		q.ID = tiller.RequestID(fmt.Sprint("q", ref))
	}
	if q.Body == nil {
		q.Body = []byte(q.ID)
	}
	s.arrived[ref] = s.now
	s.step(reducer.QueryArrived{Stamp: s.stamp(), Query: q, From: from, Ref: ref})
	return ref
}

func (s *sim) at(at tiller.Millis, do func()) {
	s.order++
	heap.Push(&s.agenda, entry{at: max(at, s.now), order: s.order, do: do})
}

func (s *sim) after(d tiller.Millis, do func()) { s.at(s.now+d, do) }

// run runs until the given time and fails on any fault.
func (s *sim) run(until tiller.Millis) {
	s.runAgenda(until)
	require.Empty(s.t, s.inspect.faults)
}

func (s *sim) runAgenda(until tiller.Millis) {
	for len(s.agenda) > 0 && s.agenda[0].at <= until {
		e := heap.Pop(&s.agenda).(entry)
		s.now = e.at
		e.do()
	}
	s.now = max(s.now, until)
}

// load sends queries made by q at exponentially distributed intervals, for a length of time.
func (s *sim) load(perSecond float64, length tiller.Millis, q func() tiller.Query) {
	end := s.now + length
	at := float64(s.now)
	for {
		at += s.rng.ExpFloat64() * 1000 / perSecond
		if tiller.Millis(at) >= end {
			return
		}
		s.at(tiller.Millis(at), func() { s.ask(q()) })
	}
}

// summary describes the results of the queries with references in a range.
type summary struct {
	asked, answered, complete int
	refusals                  map[tiller.Reason]int
	took                      []tiller.Millis
}

func (s *sim) summarize(from, to uint64, keep func(ref uint64) bool) summary {
	sum := summary{refusals: map[tiller.Reason]int{}}
	for ref := from; ref <= to; ref++ {
		if keep != nil && !keep(ref) {
			continue
		}
		sum.asked++
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
				sum.took = append(sum.took, s.taken[ref])
			}
		}
	}
	slices.Sort(sum.took)
	return sum
}

// quantile returns a quantile of the times of complete answers; p is from 0 to 1.
func (m summary) quantile(p float64) tiller.Millis {
	if len(m.took) == 0 {
		return 0
	}
	return m.took[min(int(p*float64(len(m.took))), len(m.took)-1)]
}

type entry struct {
	at    tiller.Millis
	order uint64
	do    func()
}

type agenda []entry

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(entry)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// effectsOf returns the effects of one type.
func effectsOf[T reducer.Effect](effects []reducer.Effect) []T {
	var found []T
	for _, e := range effects {
		if e, ok := e.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

// the returns the only effect of one type in the last step.
func the[T reducer.Effect](s *sim) T {
	s.t.Helper()
	found := effectsOf[T](s.last)
	require.Len(s.t, found, 1)
	return found[0]
}

// respond delivers the response to an attempt.
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

// pass lets time pass.
func (s *sim) pass(d tiller.Millis) {
	s.now += d
	s.step(reducer.TimeAdvanced{Stamp: s.stamp()})
}
