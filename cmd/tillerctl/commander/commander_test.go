package commander_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/api/operator"
)

// TestRunKnowsItsCommands guards against help that fails or that goes to standard error.
func TestRunKnowsItsCommands(t *testing.T) {
	require.Equal(t, 2, run("").code)
	require.Equal(t, 2, run("", "fly").code)
	require.Equal(t, 2, run("", "check", "-", "more").code)
	require.Equal(t, 2, run("", "check", "--loud", "-").code)
	require.True(t, strings.HasPrefix(run("", "--version").out, "tillerctl "))
	require.Equal(t, 2, run("", "domain").code)
	require.Equal(t, 2, run("", "domain", "sideways").code)
	for _, name := range []string{
		"check", "diff", "apply", "promote", "domain", "upstream", "move", "history", "status", "explain", "query", "keys",
		"domain out", "domain in", "upstream leaving", "upstream back", "move start", "move status", "move cancel", "keys new",
	} {
		words := strings.Fields(name)
		require.Contains(t, run("", "--help").out, words[0])
		got := run("", append(words, "--help")...)
		require.Equal(t, 0, got.code)
		require.Empty(t, got.err)
		require.Contains(t, got.out, "Usage:")
	}
}

// TestCheckPrintsEveryFault guards against faults that go to standard error or are lost.
func TestCheckPrintsEveryFault(t *testing.T) {
	require.Equal(t, result{}, run(trialText, "check", "-"))
	got := run(`{"Environment": "trial", "Seats": 0, "Domains": [], "Upstreams": [], "Services": 1}`, "check", "-")
	require.Equal(t, result{code: 2, out: "-:1:35: Seats: 0 is less than 1\n-:1:49: Domains: empty list\n" +
		"-:1:82: Services: want a list, have a number 1\n"}, got)
	require.Equal(t, result{}, run("", "check", "--settings", "../../../examples/settings.json"))
	got = run("", "check", filepath.Join(t.TempDir(), "none.json"))
	require.Equal(t, 2, got.code)
	require.Contains(t, got.err, "no such file")
}

func TestDiffPrintsChanges(t *testing.T) {
	next := filepath.Join(t.TempDir(), "next.json")
	require.NoError(t, os.WriteFile(next, []byte(withSeats("4")), 0o600))
	require.Equal(t, result{out: "Seats: 2 -> 4\n"}, run(trialText, "diff", "-", next))
	require.Equal(t, 2, run("{}", "diff", "-", next).code)
}

// TestStatusShowsEachDaemon guards against a daemon that does not answer and is left out in silence.
func TestStatusShowsEachDaemon(t *testing.T) {
	address, gone := (&fakeDaemon{}).start(t), unusedAddress(t)
	got := run("", "status", "--address", gone, "--address", address)
	require.Equal(t, 1, got.code)
	require.Equal(t, address+": seat 3, incarnation 5, trial revision 7 confirmed 120 ms ago, owns 1 of 2 units, "+
		"1 of 3 requests in flight, 1 of 2 upstreams cold\n", got.out)
	require.Contains(t, got.err, gone)
	got = run("", "status", "--address", address, "--address", address)
	require.Contains(t, got.out, "\nsame revision in force: trial revision 7 at 2 daemons\n")
	behind := (&fakeDaemon{revision: 6}).start(t)
	got = run("", "status", "--address", address, "--address", behind, "--address", address)
	require.Contains(t, got.out, "\ndifferent revisions in force: trial revision 6 at 1 daemons, trial revision 7 at 2 daemons\n")
	got = run("", "status", "--json", "--address", address)
	require.Equal(t, 0, got.code)
	require.Contains(t, got.out, `"LeaseMillis": 900`)
}

// TestExplainAsksUntilOneDaemonKnows guards against a request that looks unknown because the first daemon did not handle it.
func TestExplainAsksUntilOneDaemonKnows(t *testing.T) {
	unknown := (&fakeDaemon{}).start(t)
	known := (&fakeDaemon{explain: &operator.Explanation{ID: "q", Decisions: []operator.Decision{
		{AtMillis: 0, What: "admitted"},
		{AtMillis: 12, What: "hedged", Upstream: operator.NewOptString("u1"), Reason: operator.NewOptString("Timeout")},
	}}}).start(t)
	got := run("", "explain", "q", "--address", unknown, "--address", known)
	require.Equal(t, result{out: "+0 ms\tadmitted\t-\t-\n+12 ms\thedged\tu1\tTimeout\n"}, got)
	got = run("", "explain", "q", "--address", unknown)
	require.Equal(t, 1, got.code)
	require.Contains(t, got.err, "NotFound")
}
