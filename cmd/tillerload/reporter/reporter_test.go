package reporter_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/inspector"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/reporter"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/sender"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// answered returns the outcome of a query that took a time and covers answered of 4 shards.
func answered(latency time.Duration, answered int) sender.Outcome {
	c := caller.Coverage{Asked: 4, Answered: answered, Share: float64(answered) / 4, Missing: make([]caller.MissingShard, 4-answered)}
	return sender.Outcome{
		Request: planner.Request{Kind: planner.Search}, Answer: &caller.Answer{Coverage: c}, Latency: latency, Lag: time.Millisecond,
	}
}

// part returns the figures of 2 s with 98 fast answers, a late one with half of its shards, 2 refusals and a lost query.
func part() reporter.Part {
	f := reporter.NewFigures(time.Second, func(planner.Request) int { return 2 })
	for range 98 {
		f.Add(answered(10*time.Millisecond, 4))
	}
	f.Add(answered(1500*time.Millisecond, 2))
	refusal := &caller.Refusal{Verdict: "NotRun", Reason: "NoOwner"}
	f.Add(sender.Outcome{Request: planner.Request{Kind: planner.Print}, Refusal: refusal})
	f.Add(sender.Outcome{Request: planner.Request{Kind: planner.Print}, Refusal: refusal})
	f.Add(sender.Outcome{Lost: errors.New("cut"), Request: planner.Request{Kind: planner.Search}})
	return f.Part("total", 2*time.Second, reporter.Counters{First: 200, Hedges: 10, Retries: 20})
}

// Guards against figures that do not follow from the outcomes.
func TestPart(t *testing.T) {
	p := part()
	require.Equal(t, 102, p.Offered)
	require.InDelta(t, 51, p.OfferedPerSecond, 0)
	require.InDelta(t, 49.5, p.AchievedPerSecond, 0)
	require.InDelta(t, 49, p.GoodputPerSecond, 0, "the late answer is of no use")
	require.InDelta(t, 10, p.Latency.P50Millis, 0.1)
	require.InDelta(t, 10, p.Latency.P90Millis, 0.1)
	require.InDelta(t, 1500, p.Latency.P999Millis, 2)
	require.InDelta(t, 1500, p.Latency.MaxMillis, 2)
	require.InDelta(t, 1, p.SendLagP99Millis, 0.1)
	require.InDelta(t, 98.0/99, p.Coverage.WholeShare, 1e-9)
	require.InDelta(t, 98.5/99, p.Coverage.Mean, 1e-9)
	require.Equal(t, []reporter.RefusalCount{{Verdict: "NotRun", Reason: "NoOwner", Count: 2}}, p.Refusals)
	require.Equal(t, map[string]int{"BadReply": 1}, p.Lost)
	require.Equal(t, 198, p.Load.Minimum)
	require.Equal(t, int64(230), p.Load.UpstreamRequests)
	require.InDelta(t, 230.0/198, p.Load.OverMinimum, 1e-9)
	require.InDelta(t, 1.15, p.Load.OverFirst, 1e-9)
	require.Equal(t, planner.Print, p.Kinds[0].Kind)
	require.Equal(t, 99, p.Kinds[1].Answered)
}

// Guards against a minimum that counts upstreams whose shards others cover.
func TestMinimum(t *testing.T) {
	minimum := reporter.Minimum(sampler.Document(sampler.Guild, func(string) string { return "" }))
	for service, want := range map[string]int{"recipe-desk-01": 1, "label-printer": 5, "audit-archive": 2} {
		require.Equal(t, want, minimum(planner.Request{Kind: planner.Wide, Service: service}), service)
	}
	require.Equal(t, 1, minimum(planner.Request{Kind: planner.Print, Service: "label-printer"}))
}

// Guards against counters that are mixed up, or lost with the daemon that had them.
func TestScrape(t *testing.T) {
	page := `{"attempt":{"count":5},"retry.Shed":{"count":2},"retry.Timeout":{"count":1},"hedge":{"count":4},"canary":{"count":3},"redirect.NotOwner":{"count":6},"refusal.NoOwner":{"count":9},"query_millis":{"count":7}}`
	serve := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(page)) }))
	address := strings.TrimPrefix(serve.URL, "http://")
	s := reporter.NewScraper(serve.Client())
	want := reporter.Counters{First: 5, Retries: 3, Hedges: 4, Canaries: 3, Redirects: 6}
	require.Equal(t, want, s.Scrape(t.Context(), []string{address}))
	serve.Close()
	require.Equal(t, want, s.Scrape(t.Context(), []string{address}))
	require.Zero(t, want.Minus(want))
}

// Guards against a report that leaves violations out, or names JSON fields in another case.
func TestReport(t *testing.T) {
	log := &inspector.Log{}
	log.Add(inspector.RightItems, "load-1-000007", errors.New("item 0 is missing"))
	summary := reporter.Summary{
		Target: "Guild", Fault: "shed", Total: part(), Phases: []reporter.Part{part()}, Upstreams: &reporter.Upstreams{Crashes: 3},
		Violations: reporter.Violations{Total: 1, Counts: log.Counts(), First: log.First(), NotChecked: []string{"Slots"}},
	}
	var text bytes.Buffer
	require.NoError(t, reporter.WriteText(&text, summary))
	for _, want := range []string{"goodput/s", "refused NotRun NoOwner: 2", "lost BadReply: 1", "crashes 3", "not checked: Slots", "RightItems load-1-000007: item 0 is missing"} {
		require.Contains(t, text.String(), want)
	}
	encoded, err := json.Marshal(summary)
	require.NoError(t, err)
	for _, key := range regexp.MustCompile(`"([^"]*)":`).FindAllStringSubmatch(string(encoded), -1) {
		require.Regexp(t, `^[A-Z][A-Za-z0-9]*$`, key[1])
	}
}

// Guards against lines of progress that repeat what an earlier one said.
func TestProgress(t *testing.T) {
	var b bytes.Buffer
	p := reporter.NewProgress(&b)
	p.Add(answered(20*time.Millisecond, 4))
	p.WriteLine(2*time.Second, "load", 1)
	p.WriteLine(4*time.Second, "load", 1)
	lines := strings.Split(b.String(), "\n")
	require.Contains(t, lines[0], "answers 1")
	require.Contains(t, lines[0], "p99 20.0 ms")
	require.Contains(t, lines[1], "answers 0")
}
