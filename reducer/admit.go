package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/quarantiner"
	"github.com/carawaytiller/carawaytiller/recorder"
	"github.com/carawaytiller/carawaytiller/spender"
)

// onQuery accepts a query or refuses it.
func (s *State) onQuery(e QueryArrived) {
	q := s.newQuery(e)
	refusal := s.examine(q)
	if refusal != nil {
		s.reply(q, tiller.Result{Refusal: refusal})
		return
	}
	s.queries[q.key] = q
	s.arm(&q.timers[timerEnd], q.end)
	s.record(q, recorder.Decision{Kind: recorder.Arrived, Count: q.from})
	if q.hasToken() && !q.key.spent {
		s.spend(q)
		return
	}
	s.route(q)
}

func (s *State) newQuery(e QueryArrived) *query {
	s.lastHandle++
	q := &query{
		from:      e.From,
		ref:       e.Ref,
		tiller:    e.Query,
		handle:    s.lastHandle,
		arrivedAt: s.now,
		digest:    quarantiner.Digest(e.Query),
	}
	q.key = queryKey{caller: e.Query.Caller, id: e.Query.ID}
	for i := range q.timers {
		q.timers[i] = timer{kind: timerKind(i), query: q}
	}
	for i := range q.places {
		q.places[i] = -1
	}
	return q
}

// examine checks what can be checked before anything is done for a query, and completes the query
// from the document. It returns a refusal, or nil. A token may have been spent on an earlier
// run, so that only its issuer can say NotRun, and only while it is unspent.
func (s *State) examine(q *query) *tiller.Refusal {
	token, hasToken := spender.Parse(q.tiller.Token)
	q.key.spent = hasToken && !q.tiller.Repeatable && q.from != LocalCaller && token.Seat == q.from
	if _, ok := s.queries[q.key]; ok {
		// The first query under this identifier may run.
		return refusal(q, tiller.MayHaveRun, tiller.ReasonDuplicateID, "this identifier is in flight")
	}
	r := s.examineContent(q)
	if r != nil && hasToken && !q.key.spent && !s.tokens.Unspent(q.tiller.Token) {
		r.Verdict = tiller.MayHaveRun
	}
	return r
}

func (s *State) examineContent(q *query) *tiller.Refusal {
	if s.stopping {
		return refusal(q, tiller.NotRun, tiller.ReasonStopping, "this daemon stops")
	}
	if s.document == nil {
		return refusal(q, tiller.NotRun, tiller.ReasonNotReady, "no document yet")
	}
	sv, ok := s.services[q.tiller.Service]
	if !ok {
		return refusal(q, tiller.NotRun, tiller.ReasonUnknownService, "no service "+q.tiller.Service)
	}
	q.route, ok = sv.spec.Route(q.tiller.Route)
	if !ok {
		return refusal(q, tiller.NotRun, tiller.ReasonBadRequest, "no route "+q.tiller.Route)
	}
	q.repeatable = q.tiller.Repeatable && q.route.Repeatable
	if r := examineToken(q); r != nil {
		return r
	}
	return s.examineDeadline(q, sv)
}

func examineToken(q *query) *tiller.Refusal {
	if q.repeatable {
		return nil
	}
	if !q.route.Single {
		return refusal(q, tiller.NotRun, tiller.ReasonBadRequest, "a request that fans out must be repeatable")
	}
	if q.tiller.Token == "" {
		return refusal(q, tiller.NotRun, tiller.ReasonTokenRequired, "a request that is not repeatable needs a token")
	}
	if _, ok := spender.Parse(q.tiller.Token); !ok {
		return refusal(q, tiller.NotRun, tiller.ReasonTokenUnknown, "the token is malformed")
	}
	return nil
}

func (s *State) examineDeadline(q *query, sv *service) *tiller.Refusal {
	if longest := sv.spec.DeadlineMillis; longest > 0 {
		q.tiller.Deadline = min(q.tiller.Deadline, s.now+longest)
	}
	q.end = q.tiller.Deadline - replyMargin
	if q.tiller.Deadline <= s.now {
		return refusal(q, tiller.NotRun, tiller.ReasonDeadlinePast, "")
	}
	if q.end <= s.now {
		return refusal(q, tiller.NotRun, tiller.ReasonDeadlineTooShort, "")
	}
	return nil
}

// route takes a query to the unit that it belongs to: here, at a peer or unknown.
func (s *State) route(q *query) {
	sv, ok := s.services[q.tiller.Service]
	if !ok {
		s.refuse(q, tiller.ReasonUnknownService, "the service is gone")
		return
	}
	q.unit = s.unitOf(sv, q.tiller.ID)
	if s.owns(q.unit) {
		s.open(q.unit)
		s.join(q)
		return
	}
	if q.from != LocalCaller && !q.issuer {
		r := refusal(q, q.verdict(), tiller.ReasonNotOwner, "")
		r.Owner = s.knownOwner(q.unit)
		s.finish(q, tiller.Result{Refusal: r})
		return
	}
	s.seekOwner(q)
}

// onCallerGone ends a query whose caller went away, and its attempts.
func (s *State) onCallerGone(e CallerGone) {
	for _, spent := range []bool{false, true} {
		q, ok := s.queries[queryKey{caller: e.Caller, id: e.ID, spent: spent}]
		if ok && (e.Ref == 0 || e.Ref == q.ref) {
			s.refuse(q, tiller.ReasonCancelled, "the caller is gone")
			return
		}
	}
}

// onEnd ends a query at its deadline.
func (s *State) onEnd(q *query) {
	switch q.phase {
	case phaseRunning:
		s.conclude(q)
	case phaseForwarded:
		s.refuse(q, tiller.ReasonTimeout, "the owner has not replied")
	case phaseSeeking:
		s.refuse(q, ownerReason(q), "no owner until the deadline")
	default:
		s.refuse(q, tiller.ReasonQueueTimeout, "no capacity until the deadline")
	}
}
