package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/jx"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/sampler"
)

const (
	// questionMillis is the deadline of each question.
	questionMillis tiller.Millis = 1900
	// retryLimitMillis limits the time for which a question is repeated while leases are not yet granted:
	// a daemon grants no leases for 1.2 s after its start.
	retryLimitMillis = 20 * tiller.Second
	// retryPauseMillis is the pause before a question is repeated.
	retryPauseMillis tiller.Millis = 100
	// answerLimit is the maximum number of items in an answer.
	answerLimit = 5
)

// question is one query of the demonstration.
type question struct {
	Name    string
	Service string
	Route   string
	Body    string
	// Daemon is the index of the daemon that is asked, Issuer that of the daemon that issues the token.
	Daemon int
	Issuer int
}

// questions are the queries of the demonstration. Each goes to a different daemon.
var questions = []question{
	{Name: "allergen check", Service: "label-printer", Route: "search", Body: `{"Terms":["sesame","nuts"]}`, Daemon: 0},
	{Name: "recipe search", Service: "recipe-desk-03", Route: "search", Body: `{"Terms":["caraway","carrots"],"Exclude":["fish"]}`, Daemon: 3},
	{Name: "label print", Service: "label-printer", Route: "print", Body: `{"Terms":["sesame"],"Exclude":["nuts"]}`, Daemon: 6, Issuer: 5},
	{Name: "label print, sent again", Service: "label-printer", Route: "print", Body: `{"Terms":["sesame"],"Exclude":["nuts"]}`, Daemon: 1, Issuer: 5},
}

// runSearch returns the search function of the fake upstreams. For the route print it searches the whole
// snapshot instead of one shard and returns at most one item, the label that is printed.
func runSearch(records []sampler.Record) func(service, snapshot, shard, route string, body []byte, limit int) ([]tiller.Item, error) {
	return func(service, snapshot, shard, route string, body []byte, limit int) ([]tiller.Item, error) {
		if route == "print" {
			shard, limit = "", 1
		}
		return sampler.Search(records, service, snapshot, shard, body, limit)
	}
}

// query returns the caller's query. It is marked repeatable if token is empty.
func (q question) query(id, token string) *caller.Query {
	out := &caller.Query{
		ID:             id,
		Caller:         "demo",
		Service:        q.Service,
		Route:          q.Route,
		Body:           jx.Raw(q.Body),
		DeadlineMillis: int64(questionMillis),
		NeededCoverage: caller.NewOptFloat64(1),
		Repeatable:     caller.NewOptBool(token == ""),
		Limit:          caller.NewOptInt(answerLimit),
	}
	if token != "" {
		out.Token = caller.NewOptString(token)
	}
	return out
}

// compare returns an error unless the answer covers every shard of the current snapshot and equals the result
// of a direct search over the records.
func (q question) compare(records []sampler.Record, doc *tiller.Document, a *caller.Answer) error {
	service, _ := doc.Service(q.Service)
	want, err := runSearch(records)(q.Service, service.Current, "", q.Route, []byte(q.Body), answerLimit)
	if err != nil {
		return fmt.Errorf("direct search: %w", err)
	}
	switch {
	case a.Snapshot != service.Current:
		return fmt.Errorf("the answer is from snapshot %s, want %s", a.Snapshot, service.Current)
	case a.Coverage.Asked == 0 || a.Coverage.Answered != a.Coverage.Asked:
		return fmt.Errorf("the answer covers %d of %d shards, want all of at least 1", a.Coverage.Answered, a.Coverage.Asked)
	case len(want) == 0 || len(a.Items) != len(want):
		return fmt.Errorf("the answer has %d items, want %d and at least 1", len(a.Items), len(want))
	}
	for i, item := range a.Items {
		if item.Key != want[i].Key || item.Score != want[i].Score || !sameJSON(item.Body, want[i].Body) {
			return fmt.Errorf("item %d is %s with score %v, want %s with score %v and an equal body", i, item.Key, item.Score, want[i].Key, want[i].Score)
		}
	}
	return nil
}

// sameJSON reports whether two JSON texts differ in white space only.
func sameJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

// client returns a client of the daemon at an address.
func client(address string) (*caller.Client, error) {
	return caller.NewClient("http://"+address, caller.WithClient(http.DefaultClient))
}

// retryNotRun repeats ask while it is refused with the verdict NotRun, for at most retryLimitMillis, and returns
// its last result. Such refusals are expected after the start, as units have no owner until leases are granted.
func retryNotRun(ctx context.Context, ask func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, retryLimitMillis.Duration())
	defer cancel()
	for {
		err := ask(ctx)
		var refusal *caller.RefusalStatusCode
		if !errors.As(err, &refusal) || refusal.Response.Verdict != caller.RefusalVerdictNotRun {
			return err
		}
		select {
		case <-time.After(retryPauseMillis.Duration()):
		case <-ctx.Done():
			return err
		}
	}
}
