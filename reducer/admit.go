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
	refusal := s.validate(q)
	if refusal != nil {
		s.reply(q, tiller.Result{Refusal: refusal})
		return
	}
	s.queries[q.key] = q
	s.arm(&q.timers[timerReply], q.replyBy)
	s.record(q, recorder.Decision{Kind: recorder.Arrived, Count: q.from})
	if q.hasToken() && !q.key.fromIssuer {
		s.spendToken(q)
		return
	}
	s.route(q)
}

func (s *State) newQuery(e QueryArrived) *query {
	s.lastHandle++
	q := &query{
		from:      e.From,
		ref:       e.Ref,
		request:   e.Query,
		handle:    s.lastHandle,
		arrivedAt: s.now,
		digest:    quarantiner.Digest(e.Query),
	}
	q.key = queryKey{caller: e.Query.Caller, id: e.Query.ID}
	for i := range q.timers {
		q.timers[i] = timer{kind: timerKind(i), query: q}
	}
	for i := range q.setPositions {
		q.setPositions[i] = -1
	}
	return q
}

// validate checks a query before any work is done for it, and fills in its settings from the document.
// It returns a refusal, or nil. A token may have been spent on an earlier run of the request, so only
// its issuer can say NotRun, and only while the token is unspent.
func (s *State) validate(q *query) *tiller.Refusal {
	token, hasToken := spender.Parse(q.request.Token)
	q.key.fromIssuer = hasToken && !q.request.Repeatable && q.from != LocalCaller && token.Seat == q.from
	if _, ok := s.queries[q.key]; ok {
		// The first query with this identifier may run.
		return refusal(q, tiller.MayHaveRun, tiller.ReasonDuplicateID, "this identifier is in flight")
	}
	r := s.validateContent(q)
	if r != nil && hasToken && !q.key.fromIssuer && !s.tokens.Unspent(q.request.Token) {
		r.Verdict = tiller.MayHaveRun
	}
	return r
}

func (s *State) validateContent(q *query) *tiller.Refusal {
	if s.stopping {
		return refusal(q, tiller.NotRun, tiller.ReasonStopping, "this daemon stops")
	}
	if s.document == nil {
		return refusal(q, tiller.NotRun, tiller.ReasonNotReady, "no document yet")
	}
	sv, ok := s.services[q.request.Service]
	if !ok {
		return refusal(q, tiller.NotRun, tiller.ReasonUnknownService, "no service "+q.request.Service)
	}
	q.route, ok = sv.spec.Route(q.request.Route)
	if !ok {
		return refusal(q, tiller.NotRun, tiller.ReasonBadRequest, "no route "+q.request.Route)
	}
	q.repeatable = q.request.Repeatable && q.route.Repeatable
	if r := validateToken(q); r != nil {
		return r
	}
	return s.validateDeadline(q, sv)
}

func validateToken(q *query) *tiller.Refusal {
	if q.repeatable {
		return nil
	}
	if !q.route.Single {
		return refusal(q, tiller.NotRun, tiller.ReasonBadRequest, "a request that fans out must be repeatable")
	}
	if q.request.Token == "" {
		return refusal(q, tiller.NotRun, tiller.ReasonTokenRequired, "a request that is not repeatable needs a token")
	}
	if _, ok := spender.Parse(q.request.Token); !ok {
		return refusal(q, tiller.NotRun, tiller.ReasonTokenUnknown, "the token is malformed")
	}
	return nil
}

func (s *State) validateDeadline(q *query, sv *service) *tiller.Refusal {
	if longest := sv.spec.DeadlineMillis; longest > 0 {
		q.request.Deadline = min(q.request.Deadline, s.now+longest)
	}
	q.replyBy = q.request.Deadline - replyMarginMillis
	if q.request.Deadline <= s.now {
		return refusal(q, tiller.NotRun, tiller.ReasonDeadlinePast, "")
	}
	if q.replyBy <= s.now {
		return refusal(q, tiller.NotRun, tiller.ReasonDeadlineTooShort, "")
	}
	return nil
}

// route assigns a query to its unit. It admits the query if this daemon owns the unit, and else looks for
// the owner, or refuses a query that a peer forwarded.
func (s *State) route(q *query) {
	sv, ok := s.services[q.request.Service]
	if !ok {
		s.refuse(q, tiller.ReasonUnknownService, "the service is gone")
		return
	}
	q.unit = s.unitOf(sv, q.request.ID)
	if s.owns(q.unit) {
		s.initWork(q.unit)
		s.admit(q)
		return
	}
	if q.from != LocalCaller && !q.isIssuer {
		r := refusal(q, q.verdict(), tiller.ReasonNotOwner, "")
		r.Owner = s.knownOwner(q.unit)
		s.finish(q, tiller.Result{Refusal: r})
		return
	}
	s.findOwner(q)
}

// onCallerGone cancels a query whose caller no longer waits, and its attempts.
func (s *State) onCallerGone(e CallerGone) {
	for _, spent := range []bool{false, true} {
		q, ok := s.queries[queryKey{caller: e.Caller, id: e.ID, fromIssuer: spent}]
		if ok && (e.Ref == 0 || e.Ref == q.ref) {
			s.refuse(q, tiller.ReasonCancelled, "the caller is gone")
			return
		}
	}
}

// onReplyDue ends a query at the latest time for its reply.
func (s *State) onReplyDue(q *query) {
	switch q.phase {
	case phaseRunning:
		s.conclude(q)
	case phaseForwarded:
		s.refuse(q, tiller.ReasonTimeout, "the owner has not replied")
	case phaseRouting:
		s.refuse(q, ownerReason(q), "no owner until the deadline")
	default:
		s.refuse(q, tiller.ReasonQueueTimeout, "no capacity until the deadline")
	}
}
