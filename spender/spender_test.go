package spender_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/spender"
)

func ExampleParse() {
	token, ok := spender.Parse("3.12.1-00ff")
	fmt.Println(token.Seat, token.Incarnation, token.Nonce, ok)
	// Output: 3 12 1-00ff true
}

// TestTokenIsSpentOnce guards against a token that can be spent twice: a request that is not repeatable, such as
// one that prints a label, would run twice.
func TestTokenIsSpentOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := spender.New(20)
		now := tiller.Millis(0)
		spent := map[string]int{}
		var tokens []string
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += tiller.Millis(rapid.IntRange(0, 60_000).Draw(t, "wait"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if token, expires, ok := table.Issue(now, 1, 2, 3); ok {
					require.Equal(t, now+spender.ValidMillis, expires)
					require.NotContains(t, tokens, token.String())
					tokens = append(tokens, token.String())
				}
			case 1, 2:
				if len(tokens) > 0 {
					token := rapid.SampledFrom(tokens).Draw(t, "token")
					if state, _ := table.Spend(now, token, 9); state == spender.Spent {
						spent[token]++
					}
					require.LessOrEqual(t, spent[token], 1)
				}
			case 3:
				if len(tokens) > 0 {
					table.RecordOutcome(rapid.SampledFrom(tokens).Draw(t, "completed"), tiller.Result{Answer: &tiller.Answer{}})
				}
			}
			require.LessOrEqual(t, table.Len(), 20)
		}
	})
}

// TestResendGetsTheOutcome guards against a resent request that runs again or gets the outcome of a different request.
func TestResendGetsTheOutcome(t *testing.T) {
	table := spender.New(10)
	token, expires, _ := table.Issue(0, 1, 2, 3)
	text := token.String()
	state, _ := table.Spend(1, text, 7)
	require.Equal(t, spender.Spent, state)
	state, _ = table.Spend(2, text, 7)
	require.Equal(t, spender.InUse, state)
	outcome := tiller.Result{Answer: &tiller.Answer{ID: "q"}}
	table.RecordOutcome(text, outcome)
	state, got := table.Spend(3, text, 7)
	require.Equal(t, spender.Done, state)
	require.Equal(t, outcome, got)
	state, got = table.Spend(3, text, 8)
	require.Equal(t, spender.Mismatch, state)
	require.Zero(t, got)

	expired, _, _ := table.Issue(4, 1, 2, 3)
	state, _ = table.Spend(expires+4, expired.String(), 7)
	require.Equal(t, spender.Expired, state)
	_, _, _ = table.Issue(expires+5, 1, 2, 3)
	state, _ = table.Spend(expires+5, text, 7)
	require.Equal(t, spender.Unknown, state)
}

// TestParseRejects guards against a malformed token that is taken for a token of another process.
func TestParseRejects(t *testing.T) {
	for _, s := range []string{"", "1", "1.2", "1.2.", "x.2.a", "-1.2.a", "1.y.a"} {
		_, ok := spender.Parse(s)
		require.False(t, ok, s)
	}
}
