package server

import (
	"github.com/go-faster/jx"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
)

// maxDeadlineMillis bounds the deadline that a caller may request. A service usually allows less.
const maxDeadlineMillis = tiller.Hour

// decodeQuery converts a caller's query that arrived at the time arrived.
func decodeQuery(q *caller.Query, arrived tiller.Millis) tiller.Query {
	remaining := min(tiller.Millis(q.DeadlineMillis), maxDeadlineMillis)
	return tiller.Query{
		ID:             tiller.RequestID(q.ID),
		Caller:         q.Caller,
		Service:        q.Service,
		Route:          q.Route,
		Body:           q.Body,
		Limit:          q.Limit.Or(0),
		Deadline:       arrived + remaining,
		NeededCoverage: q.NeededCoverage.Or(-1),
		Repeatable:     q.Repeatable.Or(true),
		Token:          q.Token.Or(""),
	}
}

// encodeAnswer converts an answer to the type of the callers' interface.
func encodeAnswer(a *tiller.Answer) *caller.Answer {
	items := make([]caller.Item, len(a.Items))
	for i, item := range a.Items {
		items[i] = caller.Item{Key: item.Key, Score: item.Score, Body: encodeBody(item.Body)}
	}
	return &caller.Answer{
		ID:       string(a.ID),
		Service:  a.Service,
		Snapshot: a.Snapshot,
		Coverage: encodeCoverage(a.Coverage),
		Items:    items,
	}
}

// encodeBody returns the JSON body of an item, which is null for an item without a body.
func encodeBody(body []byte) jx.Raw {
	if len(body) == 0 {
		return jx.Raw("null")
	}
	return jx.Raw(body)
}

func encodeCoverage(c tiller.Coverage) caller.Coverage {
	missing := make([]caller.MissingShard, len(c.Missing))
	for i, m := range c.Missing {
		missing[i] = caller.MissingShard{Shard: m.Shard, Reason: string(m.Reason)}
	}
	return caller.Coverage{Share: c.Share(), Asked: c.Asked, Answered: c.Answered, Missing: missing}
}

// encodeRefusal converts a refusal to the type of the callers' interface. It sets the coverage only when
// at least one shard was asked.
func encodeRefusal(r *tiller.Refusal) *caller.RefusalStatusCode {
	refusal := caller.Refusal{
		Verdict:          caller.RefusalVerdict(r.Verdict.String()),
		Reason:           string(r.Reason),
		RetryAfterMillis: int64(r.RetryAfter),
	}
	if r.ID != "" {
		refusal.ID = caller.NewOptString(string(r.ID))
	}
	if r.Detail != "" {
		refusal.Detail = caller.NewOptString(r.Detail)
	}
	if r.Coverage.Asked > 0 {
		refusal.Coverage = caller.NewOptCoverage(encodeCoverage(r.Coverage))
	}
	return &caller.RefusalStatusCode{StatusCode: statusOf(r), Response: refusal}
}
