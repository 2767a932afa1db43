package commander_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/api/operator"
)

// trialText is a valid document with comments.
const trialText = `{ // tested on Monday
"Environment": "trial", "Seats": 2, "Services": [],
"Domains": [{"Name": "a", "Region": "r"}],
"Upstreams": [{"Name": "u", "Address": "10.0.0.1:80", "Domain": "a", "Slots": 2, "Connections": 4}],
}
`

// withSeats returns trialText with another number of seats.
func withSeats(n string) string {
	return strings.Replace(trialText, `"Seats": 2`, `"Seats": `+n, 1)
}

// holding returns a daemon whose store holds text as the document of env at a revision.
func holding(env string, revision int64, text string) *fakeDaemon {
	return &fakeDaemon{documents: map[string]operator.StoredDocument{env: {Revision: revision, Text: text}}}
}

// apply runs apply on text with the given daemons.
func apply(text string, addresses ...string) result {
	args := []string{"apply", "-", "--env", "trial", "--operator", "ada"}
	for _, address := range addresses {
		args = append(args, "--address", address)
	}
	return run(text, args...)
}

func TestApplyShowsTheChange(t *testing.T) {
	d := holding("trial", 3, trialText)
	address := d.start(t)
	got := apply(withSeats("4"), address)
	require.Equal(t, result{out: "trial, from revision 3:\n  Seats: 2 -> 4\naccepted as revision 4\n"}, got)
	require.Equal(t, []operator.Change{{Operation: "id", Operator: "ada", ExpectedRevision: 3, Text: withSeats("4")}}, d.received())

	require.Equal(t, result{out: "trial has this document at revision 4\n"}, apply(withSeats("4"), address))
	require.Len(t, d.received(), 1)
}

// TestApplyRepeatsWhileUnknown guards against a change that is applied twice, or reported as refused
// although it took effect, when replies are lost and daemons are down.
func TestApplyRepeatsWhileUnknown(t *testing.T) {
	d := &fakeDaemon{loseReplies: 1}
	refusals := []*operator.ErrorStatusCode{
		refuse(operator.ErrorVerdictMayHaveRun, operator.ErrorReasonStoreDown),
		refuse(operator.ErrorVerdictNotRun, operator.ErrorReasonStoreDown),
		nil,
		nil,
	}
	d.beforePut = func(d *fakeDaemon) *operator.ErrorStatusCode { return refusals[len(d.puts)-1] }
	got := apply(trialText, unusedAddress(t), d.start(t))
	require.Equal(t, 0, got.code, got.err)
	require.Contains(t, got.out, "accepted as revision 1\n")
	require.EqualValues(t, 1, d.stored("trial").Revision)
	require.Len(t, d.received(), 4)
	for _, put := range d.received() {
		require.Equal(t, d.received()[0], put)
	}
}

// TestApplyGivesUpAsUnknown guards against an unknown outcome that is reported as a refusal.
func TestApplyGivesUpAsUnknown(t *testing.T) {
	d := &fakeDaemon{loseReplies: 100}
	got := apply(trialText, d.start(t))
	require.Equal(t, 1, got.code)
	require.Len(t, d.received(), 8)
	require.Contains(t, got.err, "the outcome is unknown; run the command again with --operation id")

	got = apply(trialText, unusedAddress(t))
	require.Equal(t, 1, got.code)
	require.Contains(t, got.err, "connection refused")
}

// TestApplyReportsAConflict guards against a concurrent change that is overwritten or not shown.
func TestApplyReportsAConflict(t *testing.T) {
	d := holding("trial", 3, trialText)
	d.beforePut = func(d *fakeDaemon) *operator.ErrorStatusCode {
		d.documents["trial"] = operator.StoredDocument{Revision: 4, Text: strings.Replace(trialText, `"Slots": 2`, `"Slots": 1`, 1)}
		return nil
	}
	got := apply(withSeats("4"), d.start(t))
	require.Equal(t, result{
		code: 1,
		out: "trial, from revision 3:\n  Seats: 2 -> 4\n" +
			"conflict: accepted meanwhile, up to revision 4:\n  Upstreams[u].Slots: 2 -> 1\n" +
			"conflict: not accepted:\n  Seats: 2 -> 4\n",
		err: "tillerctl: conflict: trial is at revision 4 and not at 3\n",
	}, got)
	require.Len(t, d.received(), 1)
}

// TestApplyTakesItsOwnTextForAcceptance guards against a conflict of a change with itself, when its reply
// was lost and the store no longer knows the operation.
func TestApplyTakesItsOwnTextForAcceptance(t *testing.T) {
	d := holding("trial", 3, trialText)
	d.loseReplies = 1
	d.beforePut = func(d *fakeDaemon) *operator.ErrorStatusCode {
		clear(d.operations)
		return nil
	}
	got := apply(withSeats("4"), d.start(t))
	require.Equal(t, 0, got.code, got.err)
	require.Contains(t, got.out, "trial has this document at revision 4\n")
}

func TestApplyRefusesBadInput(t *testing.T) {
	d := &fakeDaemon{}
	address := d.start(t)
	tests := []struct {
		name, text string
		args       []string
		want       string
	}{
		{"faults", withSeats("0"), nil, "-:2:34: Seats: 0 is less than 1"},
		{"environment", trialText, []string{"--env", "production"}, "the document is for trial and not for production"},
		{"address", trialText, []string{"--address", "localhost:80"}, "address"},
		{"long operation", trialText, []string{"--operation", strings.Repeat("x", 65)}, "Operation"},
		{"attempts", trialText, []string{"--attempts", "0"}, "0 attempts"},
		{"timeout", trialText, []string{"--timeout", "0"}, "0 ms"},
	}
	for _, test := range tests {
		args := append([]string{"apply", "-", "--env", "trial", "--operator", "ada", "--address", address}, test.args...)
		got := run(test.text, args...)
		require.Equal(t, 2, got.code, test.name)
		require.Contains(t, got.out+got.err, test.want, test.name)
	}
	refused := refuse(operator.ErrorVerdictNotRun, operator.ErrorReasonBadDocument)
	refused.Response.Faults = []string{"1:2: Seats: too many"}
	d.beforePut = func(*fakeDaemon) *operator.ErrorStatusCode { return refused }
	got := apply(trialText, address)
	require.Equal(t, 2, got.code)
	require.Contains(t, got.out, "1:2: Seats: too many\n")
	require.Zero(t, d.stored("trial"))
}

// TestPromote guards against a production document that differs from the one tested in more than the environment.
func TestPromote(t *testing.T) {
	d := holding("trial", 7, trialText)
	address := d.start(t)
	promote := func(args ...string) result {
		return run("", append([]string{"promote", "--operator", "ada", "--address", address}, args...)...)
	}
	got := promote("--trial-revision", "6")
	require.Equal(t, result{code: 1, err: "tillerctl: trial is at revision 7 and not at 6\n"}, got)
	got = promote("--trial-revision", "7", "--production-revision", "2")
	require.Equal(t, result{code: 1, err: "tillerctl: production is at revision 0 and not at 2\n"}, got)
	got = promote("--trial-revision", "7", "--dry-run")
	require.Equal(t, 0, got.code)
	require.Empty(t, d.received())

	got = promote("--trial-revision", "7", "--production-revision", "0")
	require.Equal(t, 0, got.code, got.err)
	want := strings.Replace(trialText, `"trial"`, `"production"`, 1)
	require.Equal(t, operator.StoredDocument{Revision: 1, Text: want}, d.stored("production"))
	require.Equal(t, operator.StoredDocument{Revision: 7, Text: trialText}, d.stored("trial"))
}
