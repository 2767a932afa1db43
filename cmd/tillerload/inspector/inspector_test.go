package inspector

import (
	"encoding/json"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/faker"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// records returns the records of Guild, which take a while to make.
var records = sync.OnceValue(func() []sampler.Record { return sampler.Records(sampler.Guild) })

// world holds an inspector, a request and its right answer without the shard of the first item.
type world struct {
	log       *Log
	inspector *Inspector
	request   planner.Request
	answer    *caller.Answer
}

func newWorld(t *testing.T) *world {
	t.Helper()
	records := records()
	doc := sampler.Document(sampler.Guild, func(string) string { return "" })
	w := &world{log: &Log{}, request: planner.Request{
		ID: "q1", Kind: planner.Wide, Service: "audit-archive", Route: "search", Body: []byte(`{"Terms":["milk","soy"]}`),
	}}
	w.inspector = New(doc, NewReference(records), w.log)
	service, _ := doc.Service(w.request.Service)
	found, err := sampler.Search(records, service.Name, service.Current, "", w.request.Body, 0)
	require.NoError(t, err)
	missing := shardOf(t, found[0].Body)
	c := caller.Coverage{Asked: 16, Answered: 15, Share: 15.0 / 16, Missing: []caller.MissingShard{{Shard: missing, Reason: "Timeout"}}}
	w.answer = &caller.Answer{ID: "q1", Service: service.Name, Snapshot: service.Current, Coverage: c}
	for _, item := range found {
		if shardOf(t, item.Body) != missing && len(w.answer.Items) < service.Limit {
			w.answer.Items = append(w.answer.Items, caller.Item{Key: item.Key, Score: item.Score, Body: item.Body})
		}
	}
	require.Len(t, w.answer.Items, service.Limit)
	return w
}

func shardOf(t *testing.T, body []byte) string {
	t.Helper()
	var result sampler.Result
	require.NoError(t, json.Unmarshal(body, &result))
	return result.Shard
}

// setResult changes the body of the first item.
func setResult(a *caller.Answer, change func(*sampler.Result)) {
	var result sampler.Result
	_ = json.Unmarshal(a.Items[0].Body, &result)
	change(&result)
	a.Items[0].Body, _ = json.Marshal(result)
}

// Guards against checks that pass an answer with a fault, or blame a right one.
func TestAnswer(t *testing.T) {
	tests := map[string]struct {
		spoil func(*caller.Answer)
		want  []Invariant
	}{
		"right":             {func(*caller.Answer) {}, nil},
		"another request":   {func(a *caller.Answer) { a.ID = "q2" }, []Invariant{OwnAnswer}},
		"another service":   {func(a *caller.Answer) { a.Service = "label-printer" }, []Invariant{OwnAnswer}},
		"older snapshot":    {func(a *caller.Answer) { a.Snapshot = "2026-03-01" }, []Invariant{OneSnapshot}},
		"mixed snapshots":   {func(a *caller.Answer) { setResult(a, func(r *sampler.Result) { r.Snapshot = "2026-03-01" }) }, []Invariant{OneSnapshot, RightItems}},
		"shards not asked":  {func(a *caller.Answer) { a.Coverage.Asked, a.Coverage.Answered = 15, 14 }, []Invariant{TrueCoverage}},
		"shard not counted": {func(a *caller.Answer) { a.Coverage.Answered = 16 }, []Invariant{TrueCoverage}},
		"false share":       {func(a *caller.Answer) { a.Coverage.Share = 1 }, []Invariant{TrueCoverage}},
		"missing not named": {func(a *caller.Answer) { a.Coverage.Missing[0].Shard = "shard-99" }, []Invariant{TrueCoverage, RightItems}},
		"unknown reason":    {func(a *caller.Answer) { a.Coverage.Missing[0].Reason = "Mood" }, []Invariant{TrueCoverage}},
		"missing named twice": {func(a *caller.Answer) {
			a.Coverage.Missing = append(a.Coverage.Missing, a.Coverage.Missing[0])
			a.Coverage.Answered--
		}, []Invariant{TrueCoverage}},
		"too little coverage": {hideShards, []Invariant{TrueCoverage, RightItems}},
		"item of missing part": {func(a *caller.Answer) {
			setResult(a, func(r *sampler.Result) { r.Shard = a.Coverage.Missing[0].Shard })
		}, []Invariant{TrueCoverage, RightItems}},
		"item left out":         {func(a *caller.Answer) { a.Items = a.Items[1:] }, []Invariant{RightItems}},
		"items in disorder":     {func(a *caller.Answer) { a.Items[0], a.Items[1] = a.Items[1], a.Items[0] }, []Invariant{RightItems}},
		"score changed":         {func(a *caller.Answer) { a.Items[3].Score++ }, []Invariant{RightItems}},
		"body changed":          {func(a *caller.Answer) { setResult(a, func(r *sampler.Result) { r.Text = "other" }) }, []Invariant{RightItems}},
		"key twice":             {func(a *caller.Answer) { a.Items[1] = a.Items[0] }, []Invariant{UniqueKeys, RightItems}},
		"body with white space": {func(a *caller.Answer) { a.Items[0].Body = append([]byte(" "), a.Items[0].Body...) }, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			test.spoil(w.answer)
			w.inspector.Answer(w.request, w.answer)
			require.Equal(t, countsOf(test.want), w.log.Counts(), w.log.First())
		})
	}
}

// hideShards states five of the sixteen shards as missing, with a coverage that adds up.
func hideShards(a *caller.Answer) {
	a.Coverage.Missing = nil
	for _, name := range []string{"shard-01", "shard-02", "shard-03", "shard-04", "shard-05"} {
		a.Coverage.Missing = append(a.Coverage.Missing, caller.MissingShard{Shard: name, Reason: "Timeout"})
	}
	a.Coverage.Answered, a.Coverage.Share = 11, 11.0/16
}

func countsOf(invariants []Invariant) map[Invariant]int {
	counts := map[Invariant]int{}
	for _, i := range invariants {
		counts[i]++
	}
	return counts
}

// Guards against a print that is compared with a search of every shard.
func TestPrintedAnswer(t *testing.T) {
	w := newWorld(t)
	r := planner.Request{ID: "p1", Kind: planner.Print, Service: "label-printer", Route: "print", Body: w.request.Body}
	found, err := w.inspector.reference.Run(r.Service, "2026-03-01", "shard-07", r.Route, r.Body, 10)
	require.NoError(t, err)
	require.Len(t, found, 1)
	a := &caller.Answer{
		ID: "p1", Service: r.Service, Snapshot: "2026-03-01", Coverage: caller.Coverage{Asked: 1, Answered: 1, Share: 1},
		Items: []caller.Item{{Key: found[0].Key, Score: found[0].Score, Body: found[0].Body}},
	}
	w.inspector.Answer(r, a)
	require.Zero(t, w.log.Total(), w.log.First())
	a.Items = nil
	w.inspector.Answer(r, a)
	require.Equal(t, countsOf([]Invariant{RightItems}), w.log.Counts())
}

// Guards against refusals that contradict themselves or name another request.
func TestRefusal(t *testing.T) {
	covered := caller.Coverage{Asked: 16, Answered: 16, Share: 1}
	uncounted := caller.Coverage{Asked: 16, Answered: 3, Share: 3.0 / 16}
	tests := map[string]struct {
		refusal caller.Refusal
		want    []Invariant
	}{
		"right":            {caller.Refusal{ID: caller.NewOptString("q1"), Verdict: "NotRun", Reason: "NoOwner"}, nil},
		"with coverage":    {caller.Refusal{Verdict: "MayHaveRun", Reason: "CoverageTooLow", Coverage: caller.NewOptCoverage(covered)}, nil},
		"another request":  {caller.Refusal{ID: caller.NewOptString("q2"), Verdict: "NotRun", Reason: "NoOwner"}, []Invariant{OwnAnswer}},
		"unknown verdict":  {caller.Refusal{Verdict: "Perhaps", Reason: "NoOwner"}, []Invariant{KnownRefusal}},
		"unknown reason":   {caller.Refusal{Verdict: "NotRun", Reason: "Mood"}, []Invariant{KnownRefusal}},
		"false coverage":   {caller.Refusal{Verdict: "NotRun", Reason: "NoOwner", Coverage: caller.NewOptCoverage(uncounted)}, []Invariant{KnownRefusal}},
		"taken for poison": {caller.Refusal{Verdict: "MayHaveRun", Reason: "Harmful"}, []Invariant{PoisonLosses}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.inspector.Refusal(w.request, &test.refusal)
			require.Equal(t, countsOf(test.want), w.log.Counts(), w.log.First())
		})
	}
}

// Guards against runs that contradict what the caller was told.
func TestLedger(t *testing.T) {
	var ledger Ledger
	for _, id := range []string{"print-once", "print-twice"} {
		r := planner.Request{ID: id, Kind: planner.Print}
		ledger.Sent(r)
		ledger.Sent(r)
	}
	ledger.Sent(planner.Request{ID: "search-hedged", Kind: planner.Search})
	ledger.Refused(planner.Request{ID: "false"}, &caller.Refusal{Verdict: caller.RefusalVerdictNotRun, Reason: "NoOwner"})
	ledger.Refused(planner.Request{ID: "true"}, &caller.Refusal{Verdict: caller.RefusalVerdictNotRun})
	ledger.Refused(planner.Request{ID: "unsure"}, &caller.Refusal{Verdict: caller.RefusalVerdictMayHaveRun})
	log := &Log{}
	ledger.Compare(map[string]int{"print-once": 1, "print-twice": 2, "search-hedged": 2, "false": 1, "unsure": 1}, log)
	require.Equal(t, countsOf([]Invariant{RunOnce, TrueNotRun}), log.Counts())
	require.Equal(t, "false", log.First()[0].Subject)
	require.Equal(t, "print-twice", log.First()[1].Subject)
}

// Guards against overload, work in a failure domain that is out, and stops that are not noticed.
func TestCapacityAndStops(t *testing.T) {
	settings := faker.UpstreamSettings{Name: "u", Slots: 2, QueueLimit: 2, ColdSlots: 1}
	tests := map[string]struct {
		check func(*Log)
		want  []Invariant
	}{
		"within": {func(l *Log) {
			Capacity(settings, faker.UpstreamCounts{GreatestOutstanding: 4, GreatestColdInFlight: 1}, l)
		}, nil},
		"cold overload": {func(l *Log) { Capacity(settings, faker.UpstreamCounts{GreatestColdInFlight: 2}, l) }, []Invariant{ColdSlots}},
		"queue overrun": {func(l *Log) { Capacity(settings, faker.UpstreamCounts{GreatestOutstanding: 5}, l) }, []Invariant{Slots}},
		"no cold start": {func(l *Log) {
			Capacity(faker.UpstreamSettings{Slots: 9}, faker.UpstreamCounts{GreatestColdInFlight: 2}, l)
		}, nil},
		"domain at rest": {func(l *Log) { Out("Burnaby", map[string]int{"u": 3}, map[string]int{"u": 3}, l) }, nil},
		"domain at work": {func(l *Log) { Out("Burnaby", map[string]int{"u": 3, "v": 1}, map[string]int{"u": 4, "v": 1}, l) }, []Invariant{DomainOut}},
		"two lost":       {func(l *Log) { Poisoned(2, l) }, nil},
		"three lost":     {func(l *Log) { Poisoned(3, l) }, []Invariant{PoisonLosses}},
		"clean stop":     {func(l *Log) { Stopped("q", nil, string(tiller.ReasonQueueFull), l) }, nil},
		"interrupted":    {func(l *Log) { Stopped("q", errors.New("EOF"), "", l) }, []Invariant{CleanStop}},
		"turned away":    {func(l *Log) { Stopped("q", nil, string(tiller.ReasonStopping), l) }, []Invariant{CleanStop}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log := &Log{}
			test.check(log)
			require.Equal(t, countsOf(test.want), log.Counts(), log.First())
		})
	}
}
