package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/spender"
)

// tokenRetryHintMillis is the retry hint in a refusal because too many tokens are valid.
const tokenRetryHintMillis = 10 * tiller.Second

// onTokenRequested issues a single-use token or refuses to.
func (s *State) onTokenRequested(e TokenRequested) {
	seat, ok := s.ownSeat()
	switch {
	case s.stopping:
		s.denyToken(e.Ref, tiller.ReasonStopping, 0)
		return
	case !ok:
		s.denyToken(e.Ref, tiller.ReasonNotReady, 0)
		return
	}
	token, expires, ok := s.tokens.Issue(s.now, seat, s.incarnation, s.nextRandom())
	if !ok {
		s.denyToken(e.Ref, tiller.ReasonQueueFull, tokenRetryHintMillis)
		return
	}
	s.emit(IssueToken{Ref: e.Ref, Token: token.String(), Expires: expires})
}

func (s *State) denyToken(ref uint64, reason tiller.Reason, after tiller.Millis) {
	s.count(CountRefusal, reason, 1)
	s.emit(IssueToken{Ref: ref, Refusal: &tiller.Refusal{
		Verdict: tiller.NotRun, Reason: reason, RetryAfter: after, Owner: unknownSeat,
	}})
}

// spendToken spends the token of a query if this process issued it, and else forwards the query to the issuer.
// The issuer spends the token before it does anything else, so that the request runs at most once.
func (s *State) spendToken(q *query) {
	if !s.tokens.Has(q.request.Token) {
		s.handleForeignToken(q)
		return
	}
	state, outcome := s.tokens.Spend(s.now, q.request.Token, q.digest)
	switch state {
	case spender.Spent:
		q.isIssuer = true
		s.route(q)
	case spender.Done:
		s.finish(q, outcome)
	case spender.Expired:
		s.refuse(q, tiller.ReasonTokenExpired, "")
	case spender.Mismatch:
		s.refuseSpent(q, tiller.ReasonBadRequest, "the token was used for another request")
	default:
		s.refuseSpent(q, tiller.ReasonTokenInUse, "the outcome is not known yet")
	}
}

// handleForeignToken handles a token that this process did not issue or no longer remembers.
func (s *State) handleForeignToken(q *query) {
	token, _ := spender.Parse(q.request.Token)
	own := s.isSelf(token.Seat)
	switch {
	case own && token.Incarnation == s.incarnation:
		s.refuseSpent(q, tiller.ReasonTokenUnknown, "the token is unknown or has expired")
	case own || q.from != LocalCaller:
		s.refuseSpent(q, tiller.ReasonTokenIssuerGone, "the process that issued the token is gone")
	default:
		// Only the issuer knows whether the token was spent before.
		q.mayHaveRun = true
		q.forwarding.toIssuer = true
		s.forwardTo(q, token.Seat)
	}
}

// refuseSpent refuses a query whose token may have been spent on an earlier run.
func (s *State) refuseSpent(q *query, reason tiller.Reason, detail string) {
	q.mayHaveRun = true
	s.refuse(q, reason, detail)
}
