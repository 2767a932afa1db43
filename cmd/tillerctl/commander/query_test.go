package commander_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/api/caller"
)

// fakeEntry serves the caller interface.
type fakeEntry struct {
	// query answers a query.
	query  func(q *caller.Query) (*caller.Answer, error)
	tokens int
}

func (f *fakeEntry) Query(_ context.Context, q *caller.Query) (*caller.Answer, error) {
	return f.query(q)
}

func (f *fakeEntry) IssueToken(context.Context) (*caller.Token, error) {
	f.tokens++
	return &caller.Token{Token: "3.5.abc", ExpiresMillis: 600_000}, nil
}

func (f *fakeEntry) NewError(_ context.Context, err error) *caller.RefusalStatusCode {
	var refused *caller.RefusalStatusCode
	if errors.As(err, &refused) {
		return refused
	}
	return &caller.RefusalStatusCode{StatusCode: 400, Response: caller.Refusal{Verdict: "NotRun", Reason: err.Error()}}
}

// ask runs a query against f.
func ask(t *testing.T, f *fakeEntry, args ...string) result {
	s, err := caller.NewServer(f)
	require.NoError(t, err)
	address := serve(t, s)
	return run(`{"Terms":["x"]}`, append([]string{"query", "--address", address, "--service", "s"}, args...)...)
}

// TestQuerySendsItsOptions guards against a query that asks for something else than its command line.
func TestQuerySendsItsOptions(t *testing.T) {
	var got caller.Query
	f := &fakeEntry{query: func(q *caller.Query) (*caller.Answer, error) {
		got = *q
		return &caller.Answer{
			ID: q.ID, Service: q.Service, Snapshot: "n",
			Coverage: caller.Coverage{Share: 0.5, Asked: 2, Answered: 1, Missing: []caller.MissingShard{{Shard: "y", Reason: "Timeout"}}},
			Items:    []caller.Item{{Key: "k", Score: 1.5, Body: jx.Raw(`{"Text":"x"}`)}},
		}, nil
	}}
	res := ask(t, f, "--route", "print", "--body", "@-", "--deadline", "250", "--coverage", "0.5", "--limit", "3", "--single-use")
	require.Equal(t, 0, res.code, res.err)
	require.Equal(t, caller.Query{
		ID: "id", Caller: "tillerctl", Service: "s", Route: "print", Body: jx.Raw(`{"Terms":["x"]}`), DeadlineMillis: 250,
		NeededCoverage: caller.NewOptFloat64(0.5), Limit: caller.NewOptInt(3),
		Repeatable: caller.NewOptBool(false), Token: caller.NewOptString("3.5.abc"),
	}, got)
	require.JSONEq(t, `{"ID":"id","Service":"s","Snapshot":"n","Coverage":{"Share":0.5,"Asked":2,"Answered":1,
		"Missing":[{"Shard":"y","Reason":"Timeout"}]},"Items":[{"Key":"k","Score":1.5,"Body":{"Text":"x"}}]}`, res.out)

	res = ask(t, f, "--body", "{}", "--token", "3.5.old")
	require.Equal(t, 0, res.code, res.err)
	require.Equal(t, caller.NewOptString("3.5.old"), got.Token)
	require.Equal(t, caller.NewOptBool(false), got.Repeatable)
	require.Equal(t, 1, f.tokens)
}

// TestQueryStatesTheVerdict guards against a request that may have run and is reported as not run.
func TestQueryStatesTheVerdict(t *testing.T) {
	refused := &fakeEntry{query: func(*caller.Query) (*caller.Answer, error) {
		return nil, &caller.RefusalStatusCode{StatusCode: 503, Response: caller.Refusal{Verdict: "MayHaveRun", Reason: "OwnerLost"}}
	}}
	res := ask(t, refused, "--body", "{}")
	require.Equal(t, 1, res.code)
	require.JSONEq(t, `{"Verdict":"MayHaveRun","Reason":"OwnerLost","RetryAfterMillis":0}`, res.out)

	lost := &fakeEntry{query: func(*caller.Query) (*caller.Answer, error) { panic(http.ErrAbortHandler) }}
	res = ask(t, lost, "--body", "{}", "--single-use")
	require.Equal(t, 1, res.code)
	require.Contains(t, res.err, "tillerctl: MayHaveRun: query")
	require.Contains(t, res.err, "--id id --token 3.5.abc")

	res = run("", "query", "--address", unusedAddress(t), "--service", "s", "--body", "{}")
	require.Equal(t, 1, res.code)
	require.Contains(t, res.err, "tillerctl: NotRun: query")
}

func TestQueryRefusesBadInput(t *testing.T) {
	for _, args := range [][]string{
		{"--body", "{"},
		{"--body", "@/no/such/file"},
		{"--body", "{}", "--coverage", "1.5"},
		{"--body", "{}", "--deadline", "0"},
		{"--body", "{}", "--limit", "-1"},
		{},
	} {
		res := run("", append([]string{"query", "--address", "127.0.0.1:1", "--service", "s"}, args...)...)
		require.Equal(t, 2, res.code, "%v: %s", args, res.err)
	}
}
