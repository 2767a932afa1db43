package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/commander"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/reporter"
	"github.com/carawaytiller/carawaytiller/sampler"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// run runs a command line and returns its exit code and output.
func run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = commander.New(&out, &err).Run(context.Background(), args)
	return code, out.String(), err.String()
}

// Guards against a load that starts in spite of a wrong option, and errors that do not name it.
func TestBadInput(t *testing.T) {
	for line, want := range map[string]string{
		"--rat 3":                                "rat",
		"--rate 0":                               "--rate 0",
		"--rate NaN":                             "--rate NaN",
		"--rate 100001":                          "--rate 100001",
		"--duration 0s":                          "--duration 0s",
		"--duration 10":                          "duration",
		"--warm-up -1s":                          "--warm-up -1s",
		"--bodies 0":                             "--bodies 0",
		"--resend 101":                           "--resend 101",
		"--deadline 0s":                          "--deadline 0s",
		"--embedded lochen":                      "embedded",
		"--address here":                         "--address",
		"--address 127.0.0.1:1 --fault shed":     "--fault shed",
		"--address 127.0.0.1:1 --embedded guild": "--embedded",
		"--deployment guild":                     "--deployment",
		"--mix search=x":                         "--mix",
		"--mix search=1,scan=2":                  "scan",
		"--embedded lochan --mix print":          "print",
		"--callers =3":                           "--callers",
		"--fault frozen":                         "frozen",
		"--fault shed --fault-at 9s":             "--fault-for 4s",
		"--fault domain-out --fault-for 3s":      "--fault-for 3s",
		"--fault shed --fault-domain Glasgow":    "Glasgow",
		"--fault daemon-kill --fault-seat 8":     "--fault-seat 8",
		"extra":                                  "extra",
		"compare --fan-out 0":                    "--fan-out 0",
		"compare --service 1us":                  "--service",
		"compare extra":                          "extra",
	} {
		code, stdout, stderr := run(strings.Fields(line)...)
		require.Equal(t, 2, code, line)
		require.Contains(t, stderr, want, line)
		require.Empty(t, stdout, line)
	}
}

// Guards against help without units and defaults.
func TestHelp(t *testing.T) {
	code, stdout, _ := run("--help")
	require.Zero(t, code)
	for _, want := range []string{"queries/s", "(default: 200)", "upstream-crash", "Exit codes", "compare"} {
		require.Contains(t, stdout, want)
	}
	code, stdout, _ = run("compare", "--help")
	require.Zero(t, code)
	require.Contains(t, stdout, "--fan-out")
	code, stdout, _ = run("--version")
	require.Zero(t, code)
	require.Contains(t, stdout, "tillerload ")
}

// daemon answers searches of Guild directly. spoil may change an answer.
type daemon struct {
	doc     *tiller.Document
	records []sampler.Record
	spoil   func(*caller.Answer)
}

// Query answers a search.
func (d *daemon) Query(_ context.Context, q *caller.Query) (*caller.Answer, error) {
	service, _ := d.doc.Service(q.Service)
	snapshot, _ := service.Snapshot(service.Current)
	found, err := sampler.Search(d.records, q.Service, service.Current, "", q.Body, service.Limit)
	if err != nil {
		return nil, err
	}
	n := len(snapshot.Shards)
	a := &caller.Answer{
		ID: q.ID, Service: q.Service, Snapshot: service.Current,
		Coverage: caller.Coverage{Share: 1, Asked: n, Answered: n, Missing: []caller.MissingShard{}}, Items: []caller.Item{},
	}
	for _, item := range found {
		a.Items = append(a.Items, caller.Item{Key: item.Key, Score: item.Score, Body: item.Body})
	}
	d.spoil(a)
	return a, nil
}

// IssueToken issues no token.
func (d *daemon) IssueToken(context.Context) (*caller.Token, error) { return nil, http.ErrNotSupported }

// NewError refuses.
func (d *daemon) NewError(context.Context, error) *caller.RefusalStatusCode {
	return &caller.RefusalStatusCode{StatusCode: 503, Response: caller.Refusal{Verdict: "NotRun", Reason: "NotReady"}}
}

// Guards against a load on daemons elsewhere that blames right answers or passes wrong ones.
func TestLoadByAddress(t *testing.T) {
	d := &daemon{doc: sampler.Document(sampler.Guild, func(string) string { return "" }), records: sampler.Records(sampler.Guild)}
	handler, err := caller.NewServer(d)
	require.NoError(t, err)
	s := httptest.NewServer(handler)
	defer s.Close()
	args := strings.Fields("--rate 100 --duration 300ms --warm-up 0s --mix search=1,wide=1 --address " + strings.TrimPrefix(s.URL, "http://"))

	d.spoil = func(*caller.Answer) {}
	code, stdout, stderr := run(append(args, "--json")...)
	require.Zero(t, code, stderr)
	var summary reporter.Summary
	require.NoError(t, json.Unmarshal([]byte(stdout), &summary))
	require.Positive(t, summary.Total.Kinds[0].Answered)
	require.InDelta(t, 1, summary.Total.Coverage.WholeShare, 0)
	require.Len(t, summary.Violations.NotChecked, 1)

	d.spoil = func(a *caller.Answer) { a.Coverage.Answered-- }
	code, stdout, stderr = run(args...)
	require.Equal(t, 1, code)
	require.Contains(t, stdout, "TrueCoverage")
	require.Contains(t, stderr, "violation TrueCoverage load-1-00000")
	require.Contains(t, stderr, "tillerload: invariants were violated")
}

// TestCapacityRefusesImpossibleSizes guards against figures for a size that cannot exist.
func TestCapacityRefusesImpossibleSizes(t *testing.T) {
	for _, args := range [][]string{
		{"capacity", "--daemons", "0"},
		{"capacity", "--services", "0"},
		{"capacity", "--upstreams", "3", "--services", "2"},
		{"capacity", "--fan-out", "0"},
		{"capacity", "--changes", "-1"},
	} {
		var out, errOut bytes.Buffer
		require.Equal(t, 2, commander.New(&out, &errOut).Run(context.Background(), args), "%v", args)
		require.Contains(t, errOut.String(), args[1], "%v", args)
		require.Empty(t, out.String())
	}
}
