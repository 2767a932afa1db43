package reducer_test

import (
	"fmt"
	"strings"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// inspector checks the invariants after each step. It uses the events and effects only, not the State.
type inspector struct {
	violations []string
	document   *tiller.Document
	domains    map[string]tiller.Domain
	specs      map[string]tiller.Upstream
	draining   map[string]bool
	// cold has the upstreams that, according to the events, are cold.
	cold     map[string]bool
	inFlight map[string]int
	attempts map[tiller.AttemptID]*attemptRecord
	queries  map[uint64]*queryRecord
	// attemptsByRunKey has the attempts by the run key of their request: the key under which runs are counted.
	// It is the token of a single-use request and the identifier of any other request.
	attemptsByRunKey map[string][]*attemptRecord
	runKeys          map[tiller.RequestID]string
	outcomes         map[string]tiller.Result
}

// attemptRecord describes an attempt that the reducer sent.
type attemptRecord struct {
	effect  reducer.SendAttempt
	ended   bool
	verdict tiller.Verdict
	// response is set when a response that matches the request was delivered before the attempt ended.
	response *tiller.SearchResponse
	// endedStep is the number of the step in which the attempt ended.
	endedStep int
}

type queryRecord struct {
	event       reducer.QueryArrived
	replied     bool
	arrivedStep int
}

func newInspector() *inspector {
	return &inspector{
		draining: map[string]bool{}, cold: map[string]bool{}, inFlight: map[string]int{},
		attempts: map[tiller.AttemptID]*attemptRecord{}, queries: map[uint64]*queryRecord{},
		attemptsByRunKey: map[string][]*attemptRecord{}, runKeys: map[tiller.RequestID]string{}, outcomes: map[string]tiller.Result{},
	}
}

func (in *inspector) reportViolation(format string, args ...any) {
	in.violations = append(in.violations, fmt.Sprintf(format, args...))
}

func (in *inspector) observe(s *sim, e reducer.Event, effects []reducer.Effect) {
	in.observeEvent(s, e)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case reducer.SendAttempt:
			in.checkAttempt(s, effect)
		case reducer.CancelAttempt:
			in.endAttempt(effect.Attempt, tiller.MayHaveRun, nil, s.steps)
		case reducer.Reply:
			in.checkReply(effect)
		}
	}
}

func (in *inspector) observeEvent(s *sim, e reducer.Event) {
	switch e := e.(type) {
	case reducer.QueryArrived:
		in.queries[e.Ref] = &queryRecord{event: e, arrivedStep: s.steps}
		runKey := e.Query.Token
		if e.Query.Repeatable || runKey == "" {
			runKey = string(e.Query.ID)
		}
		in.runKeys[e.Query.ID] = runKey
	case reducer.ResponseArrived:
		a := in.attempts[e.Attempt]
		if a != nil && a.effect.Request.ID == e.Response.ID && a.effect.Request.Snapshot == e.Response.Snapshot && e.Response.Attempt == e.Attempt {
			if !a.ended {
				in.cold[a.effect.Upstream] = e.Response.Cold
			}
			in.endAttempt(e.Attempt, tiller.Ran, &e.Response, s.steps)
		} else {
			in.endAttempt(e.Attempt, tiller.MayHaveRun, nil, s.steps)
		}
	case reducer.AttemptFailed:
		// The reducer ignores the failure of an attempt that it has cancelled.
		if a := in.attempts[e.Attempt]; a != nil && !a.ended && e.Reason == tiller.ReasonDraining {
			in.draining[a.effect.Upstream] = true
		}
		in.endAttempt(e.Attempt, e.Verdict, nil, s.steps)
	case reducer.UpstreamRestarted:
		in.cold[e.Upstream] = true
		in.draining[e.Upstream] = false
	case reducer.LoadReported:
		if e.Draining {
			in.draining[e.Upstream] = true
		}
	case reducer.DocumentApplied:
		in.observeDocument(e.Document)
	}
}

func (in *inspector) observeDocument(d *tiller.Document) {
	if in.document != nil && d.Revision <= in.document.Revision {
		return
	}
	in.document = d
	in.domains, in.specs = map[string]tiller.Domain{}, map[string]tiller.Upstream{}
	for _, domain := range d.Domains {
		in.domains[domain.Name] = domain
	}
	for _, u := range d.Upstreams {
		in.specs[u.Name] = u
	}
}

// endAttempt records the first end of an attempt. Later ends are ignored.
func (in *inspector) endAttempt(id tiller.AttemptID, v tiller.Verdict, resp *tiller.SearchResponse, step int) {
	a := in.attempts[id]
	if a == nil || a.ended {
		return
	}
	a.ended, a.verdict, a.response, a.endedStep = true, v, resp, step
	in.inFlight[a.effect.Upstream]--
}

// checkAttempt checks that the upstream may get new attempts, that its slots and its cold allowance are not exceeded,
// that the identifier of the attempt is new and that the lease has not ended.
func (in *inspector) checkAttempt(s *sim, e reducer.SendAttempt) {
	spec, listed := in.specs[e.Upstream]
	if !listed || spec.Leaving || in.domains[spec.Domain].Out {
		in.reportViolation("out of service: attempt %d sent to upstream %s", e.Request.Attempt, e.Upstream)
	}
	if in.draining[e.Upstream] {
		in.reportViolation("draining: attempt %d sent to upstream %s", e.Request.Attempt, e.Upstream)
	}
	in.inFlight[e.Upstream]++
	if n := in.inFlight[e.Upstream]; n > spec.Slots {
		in.reportViolation("limit: %d requests in flight on upstream %s, slots %d", n, e.Upstream, spec.Slots)
	}
	if n := in.inFlight[e.Upstream]; in.cold[e.Upstream] && n > spec.ColdSlots {
		in.reportViolation("cold: %d requests in flight on upstream %s, cold allowance %d", n, e.Upstream, spec.ColdSlots)
	}
	if in.attempts[e.Request.Attempt] != nil {
		in.reportViolation("attempt %d sent twice", e.Request.Attempt)
	}
	if e.ValidUntil <= s.now {
		in.reportViolation("lease: attempt %d sent at %d ms, after its end at %d ms", e.Request.Attempt, s.now, e.ValidUntil)
	}
	a := &attemptRecord{effect: e}
	in.attempts[e.Request.Attempt] = a
	runKey := in.runKeys[e.Request.ID]
	in.attemptsByRunKey[runKey] = append(in.attemptsByRunKey[runKey], a)
}

func (in *inspector) checkReply(e reducer.Reply) {
	q := in.queries[e.Ref]
	switch {
	case q == nil:
		in.reportViolation("reply: %s belongs to no query", e.ID)
		return
	case q.replied:
		in.reportViolation("reply: second reply to %s", e.ID)
		return
	case e.To != q.event.From || e.Caller != q.event.Query.Caller || e.ID != q.event.Query.ID:
		in.reportViolation("reply: %s sent to seat %d and caller %s, want seat %d and caller %s",
			e.ID, e.To, e.Caller, q.event.From, q.event.Query.Caller)
	}
	q.replied = true
	if e.Result.Refusal != nil {
		in.checkVerdict(q, *e.Result.Refusal)
	} else {
		in.checkAnswer(q, *e.Result.Answer)
	}
	in.checkOutcome(q, e.Result)
}

// checkVerdict checks that no attempt of a query refused with NotRun may have run. For a single-use request
// it checks the attempts of all queries with the same token.
func (in *inspector) checkVerdict(q *queryRecord, r tiller.Refusal) {
	if r.Verdict != tiller.NotRun {
		return
	}
	for _, a := range in.attemptsByRunKey[in.runKeys[q.event.Query.ID]] {
		if q.event.Query.Token == "" && a.ended && a.endedStep < q.arrivedStep {
			// The attempt belongs to an earlier query with the same identifier.
			continue
		}
		if !a.ended || a.verdict != tiller.NotRun {
			in.reportViolation("verdict: %s refused with NotRun but may have run", r.ID)
			return
		}
	}
}

// checkAnswer checks the coverage and the items of an answer against the responses delivered for its snapshot.
func (in *inspector) checkAnswer(q *queryRecord, answer tiller.Answer) {
	firstByShard := map[string]*attemptRecord{}
	for _, a := range in.attemptsByRunKey[in.runKeys[answer.ID]] {
		if a.response == nil || q.event.Query.Token == "" && a.endedStep < q.arrivedStep || a.effect.Request.Snapshot != answer.Snapshot {
			continue
		}
		for _, sh := range a.response.Shards {
			if old := firstByShard[sh.Shard]; old == nil || a.endedStep < old.endedStep {
				firstByShard[sh.Shard] = a
			}
		}
	}
	var parts []merger.Part
	for shard, a := range firstByShard {
		for _, sh := range a.response.Shards {
			if sh.Shard == shard {
				parts = append(parts, merger.Part{Shard: shard, Answered: true, Items: sh.Items})
			}
		}
	}
	if answer.Coverage.Answered != len(firstByShard) || answer.Coverage.Asked != len(firstByShard)+len(answer.Coverage.Missing) {
		in.reportViolation("coverage: answer to %s states %d of %d shards, responses have %d",
			answer.ID, answer.Coverage.Answered, answer.Coverage.Asked, len(firstByShard))
	}
	for _, m := range answer.Coverage.Missing {
		if firstByShard[m.Shard] != nil || m.Reason == "" {
			in.reportViolation("coverage: answer to %s states shard %s as missing with reason %q", answer.ID, m.Shard, m.Reason)
		}
	}
	want := merger.Items(parts, 0)
	for i, item := range answer.Items {
		if !strings.HasPrefix(item.Key, answer.Snapshot+"/") {
			in.reportViolation("snapshot: answer to %s has item %s from a snapshot other than %s", answer.ID, item.Key, answer.Snapshot)
		}
		if i >= len(want) || want[i].Key != item.Key {
			in.reportViolation("items: answer to %s has unexpected item %s at index %d", answer.ID, item.Key, i)
			return
		}
	}
}

// checkOutcome checks that all answers to queries with the same token are the same. Refusals are not compared.
func (in *inspector) checkOutcome(q *queryRecord, r tiller.Result) {
	token := q.event.Query.Token
	if token == "" || r.Answer == nil {
		return
	}
	if first, ok := in.outcomes[token]; ok && first.Answer != r.Answer {
		in.reportViolation("token: two different answers for the token of %s", q.event.Query.ID)
	}
	in.outcomes[token] = r
}

// checkRuns checks that the upstreams have run each request with a token at most once.
func (in *inspector) checkRuns(s *sim) {
	runs := map[string]int{}
	for _, u := range s.upstreams {
		for id, n := range u.runs {
			runs[in.runKeys[id]] += n
		}
	}
	for _, q := range in.queries {
		if n := runs[q.event.Query.Token]; q.event.Query.Token != "" && n > 1 {
			in.reportViolation("token: %s ran %d times", q.event.Query.Token, n)
		}
	}
}

// checkReplied checks that every query has got a reply.
func (in *inspector) checkReplied() {
	for _, q := range in.queries {
		if !q.replied {
			in.reportViolation("reply: none for %s", q.event.Query.ID)
		}
	}
}
