package commander_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/api/operator"
)

// edit runs a sub-command that changes single fields in trial.
func edit(address string, args ...string) result {
	return run("", append(args, "--env", "trial", "--operator", "ada", "--address", address)...)
}

// outText is trialText with its failure domain out.
var outText = strings.Replace(trialText, `{"Name": "a",`, `{"Name": "a", "Out": true,`, 1)

// TestEditGoesOnAfterOtherChanges guards against an edit that overwrites a change that was accepted
// meanwhile, that is given up although that change touches other fields, that loses a comment,
// or that is made again under another operation, so that it could be applied twice.
func TestEditGoesOnAfterOtherChanges(t *testing.T) {
	d := holding("trial", 3, trialText)
	d.beforePut = func(d *fakeDaemon) *operator.ErrorStatusCode {
		if len(d.puts) == 1 {
			d.documents["trial"] = operator.StoredDocument{Revision: 4, Text: withSeats("4")}
		}
		return nil
	}
	got := edit(d.start(t), "domain", "out", "a")
	require.Equal(t, result{
		out: "trial, from revision 3:\n  Domains[a].Out: false -> true\n" +
			"trial, from revision 4:\n  Domains[a].Out: false -> true\naccepted as revision 5\n",
		err: "trial: another change was accepted first; trying again\n",
	}, got)
	want := strings.Replace(outText, `"Seats": 2`, `"Seats": 4`, 1)
	require.Equal(t, operator.StoredDocument{Revision: 5, Text: want}, d.stored("trial"))
	require.Len(t, d.received(), 2)
	require.Equal(t, d.received()[0].Operation, d.received()[1].Operation)
}

// TestEditIsAppliedOnce guards against an edit whose reply is lost and that is made again
// after another operator has reversed it.
func TestEditIsAppliedOnce(t *testing.T) {
	d := holding("trial", 3, trialText)
	d.loseReplies = 1
	d.beforePut = func(d *fakeDaemon) *operator.ErrorStatusCode {
		if len(d.puts) == 2 {
			d.documents["trial"] = operator.StoredDocument{Revision: 5, Text: trialText}
		}
		return nil
	}
	got := edit(d.start(t), "domain", "out", "a")
	require.Equal(t, 0, got.code, got.err)
	require.Contains(t, got.out, "accepted as revision 4\n")
	require.Equal(t, operator.StoredDocument{Revision: 5, Text: trialText}, d.stored("trial"))
}

func TestEdits(t *testing.T) {
	for _, test := range []struct {
		name, text string
		args       string
		code       int
		want       string
		after      string
	}{
		{"out", trialText, "domain out a", 0, "accepted as revision 4", outText},
		{"out already", outText, "domain out a", 0, "nothing to change: trial has this at revision 3", outText},
		{"in", outText, "domain in a", 0, "accepted", strings.Replace(outText, "true", "false", 1)},
		{"in already", trialText, "domain in a", 0, "nothing to change", trialText},
		{"dry run", trialText, "domain out a --dry-run", 0, "Domains[a].Out: false -> true", trialText},
		{"unknown domain", trialText, "domain out u", 2, "no Domains[u]", trialText},
		{"unknown upstream", trialText, "upstream leaving a", 2, "no Upstreams[a]", trialText},
		{"leaving", trialText, "upstream leaving u", 0, "Upstreams[u].Leaving: false -> true", strings.Replace(trialText, `"u",`, `"u", "Leaving": true,`, 1)},
		{"no document", "", "domain out a", 1, "there is no document for trial", ""},
		{"faulty", withSeats("0"), "domain out a", 1, "has faults", withSeats("0")},
		{"attempts", trialText, "domain out a --attempts 0", 2, "0 attempts", trialText},
	} {
		d := &fakeDaemon{}
		if test.text != "" {
			d = holding("trial", 3, test.text)
		}
		got := edit(d.start(t), strings.Fields(test.args)...)
		require.Equal(t, test.code, got.code, "%s: %+v", test.name, got)
		require.Contains(t, got.out+got.err, test.want, test.name)
		require.Equal(t, test.after, d.stored("trial").Text, test.name)
	}
}

// moveText is a document with two versions of the upstreams of a service.
const moveText = `{
	"Environment": "trial", "Seats": 2,
	"Domains": [{"Name": "a", "Region": "r"}],
	"Upstreams": [
		{"Name": "u1", "Address": "10.0.0.1:80", "Domain": "a", "Slots": 2, "Connections": 4, "Version": "1"},
		{"Name": "u2", "Address": "10.0.0.2:80", "Domain": "a", "Slots": 2, "Connections": 4, "Version": "2"},
	],
	"Services": [{"Name": "s", "Current": "n", "Snapshots": [{"Name": "n", "Shards": [{"Name": "x", "Upstreams": ["u1", "u2"]}]}]}],
	// rollouts follow
}`

// TestMoves guards against two rollouts of a service at once, and a final state that is changed.
func TestMoves(t *testing.T) {
	d := holding("trial", 1, moveText)
	// Every command has the same operation identifier here, and is to count as another operation.
	d.beforePut = func(d *fakeDaemon) *operator.ErrorStatusCode {
		clear(d.operations)
		return nil
	}
	address := d.start(t)
	start := func(name string, more ...string) result {
		args := []string{"move", "start", name, "--service", "s", "--from", "1", "--to", "2", "--start-at", "+10m", "--finish-by", "2026-12-04T13:00:00Z"}
		return edit(address, append(args, more...)...)
	}
	status := func() string {
		return run("", "move", "status", "--env", "trial", "--address", address).out
	}
	require.Equal(t, 2, start("m", "--canary-percent", "50").code)
	require.Equal(t, 2, start("m", "--to", "3").code)
	require.Equal(t, 2, start("m", "--start-at", "soon").code)
	require.Equal(t, 2, start("m", "--finish-by", "+1m").code, "before the start")
	require.Empty(t, d.received())

	require.Equal(t, 0, start("m").code)
	require.Contains(t, d.stored("trial").Text, "// rollouts follow")
	require.Equal(t, "m: s from 1 to 2, waiting, from 2026-12-04T10:10:00Z to 2026-12-04T13:00:00Z, at most 5 in 100 before it is judged\n", status())
	require.Contains(t, start("m").err, "has a rollout m already")
	require.Contains(t, start("n").err, "has not ended")

	require.Equal(t, 0, edit(address, "move", "cancel", "m").code)
	require.Contains(t, status(), "TakenBack")
	require.Contains(t, edit(address, "move", "cancel", "m").out, "nothing to change")
	require.Equal(t, 2, edit(address, "move", "cancel", "x").code)
	require.Equal(t, 0, start("n").code)

	done := strings.Replace(d.stored("trial").Text, `"Name":"n",`, `"Name":"n","State":"Done",`, 1)
	finished := holding("trial", 9, done)
	got := edit(finished.start(t), "move", "cancel", "n")
	require.Equal(t, 1, got.code)
	require.Contains(t, got.err, "has ended as Done")
}

func TestHistory(t *testing.T) {
	d := &fakeDaemon{history: &operator.History{Revision: 2, Changes: []operator.PastChange{
		{Revision: 1, Operation: "a", Operator: "ada", AtMillis: 1796378400000},
		{Revision: 2, Operation: "b", Operator: "bob", AtMillis: 1796378401000},
	}}}
	got := run("", "history", "--env", "trial", "--address", unusedAddress(t), "--address", d.start(t))
	require.Equal(t, result{out: "1\t2026-12-04T10:00:00Z\tada\ta\n2\t2026-12-04T10:00:01Z\tbob\tb\n"}, got)
	require.Contains(t, run("", "history", "--env", "trial", "--address", (&fakeDaemon{}).start(t)).err, "NotFound")
}

// TestKeysNew guards against a file that is replaced, an authority that is not used for the next daemon,
// and a key that others can read.
func TestKeysNew(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	keys := func(name string) result { return run("", "keys", "new", "--dir", dir, "--name", name) }
	require.Equal(t, 0, keys("one").code)
	authority, err := os.ReadFile(filepath.Join(dir, "authority.crt"))
	require.NoError(t, err)
	info, err := os.Stat(filepath.Join(dir, "one.key"))
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	require.Equal(t, 2, keys("one").code)
	require.Equal(t, result{out: filepath.Join(dir, "two.crt") + "\n" + filepath.Join(dir, "two.key") + "\n"}, keys("two"))
	for _, name := range []string{"authority", "../x", ".", ""} {
		require.Equal(t, 2, keys(name).code, name)
	}
	again, err := os.ReadFile(filepath.Join(dir, "authority.crt"))
	require.NoError(t, err)
	require.Equal(t, authority, again)
	require.NoError(t, os.Remove(filepath.Join(dir, "authority.key")))
	require.Equal(t, 2, keys("three").code, "half an authority")
}
