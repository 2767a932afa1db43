package inspector

import (
	"bytes"
	"encoding/json"
	"math"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// Inspector checks the replies to requests.
type Inspector struct {
	doc       *tiller.Document
	reference *Reference
	log       *Log
}

// New returns an Inspector that adds violations to log. Failure domains and addresses of doc do not matter.
func New(doc *tiller.Document, reference *Reference, log *Log) *Inspector {
	return &Inspector{doc: doc, reference: reference, log: log}
}

// Answer checks the answer to a request.
func (in *Inspector) Answer(r planner.Request, a *caller.Answer) {
	service, _ := in.doc.Service(r.Service)
	asked := shardsAsked(service, r.Route)
	in.log.Add(OwnAnswer, r.ID, checkOwner(r, a))
	in.log.Add(OneSnapshot, r.ID, checkSnapshot(service.Current, a))
	in.log.Add(TrueCoverage, r.ID, checkCoverage(asked, service.NeededCoverage, a))
	in.log.Add(UniqueKeys, r.ID, checkKeys(a))
	in.log.Add(RightItems, r.ID, in.checkItems(r, service, asked, a))
}

// shardsAsked returns the names of the shards that a query of a route asks. A route that runs on one upstream
// asks one shard.
func shardsAsked(service tiller.Service, route string) []string {
	var names []string
	snapshot, _ := service.Snapshot(service.Current)
	for _, shard := range snapshot.Shards {
		names = append(names, shard.Name)
	}
	if r, _ := service.Route(route); r.Single && len(names) > 0 {
		return names[:1]
	}
	return names
}

// checkOwner returns an error unless the answer names the request and its service.
func checkOwner(r planner.Request, a *caller.Answer) error {
	if a.ID != r.ID || a.Service != r.Service {
		return errors.Errorf("the answer is for request %s to %s", a.ID, a.Service)
	}
	return nil
}

// checkSnapshot returns an error unless answer and items are from the current snapshot.
func checkSnapshot(current string, a *caller.Answer) error {
	if a.Snapshot != current {
		return errors.Errorf("the answer is from snapshot %q and the current one is %q", a.Snapshot, current)
	}
	for _, item := range a.Items {
		if result, err := resultOf(item); err != nil || result.Snapshot != a.Snapshot {
			return errors.Errorf("item %s is from snapshot %q and the answer from %q", item.Key, result.Snapshot, a.Snapshot)
		}
	}
	return nil
}

func resultOf(item caller.Item) (sampler.Result, error) {
	var result sampler.Result
	err := json.Unmarshal(item.Body, &result)
	return result, err
}

// checkCoverage returns an error unless the coverage is true of the shards asked and reaches the needed share.
func checkCoverage(asked []string, needed float64, a *caller.Answer) error {
	if err := checkCounts(asked, a.Coverage); err != nil {
		return err
	}
	if least := int(math.Ceil(needed*float64(len(asked)) - roundingSlack)); a.Coverage.Answered < least {
		return errors.Errorf("%d shards answered, but %d are needed", a.Coverage.Answered, least)
	}
	missing := missingOf(a.Coverage)
	for _, item := range a.Items {
		if result, err := resultOf(item); err != nil || missing[result.Shard] {
			return errors.Errorf("item %s is from shard %q, which is missing", item.Key, result.Shard)
		}
	}
	return nil
}

// roundingSlack keeps a rounding error from asking for one more shard.
const roundingSlack = 1e-9

// checkCounts returns an error unless the counts and the missing shards fit the shards asked.
func checkCounts(asked []string, c caller.Coverage) error {
	switch {
	case c.Asked != len(asked):
		return errors.Errorf("%d shards asked, but the snapshot has %d", c.Asked, len(asked))
	case c.Answered+len(c.Missing) != c.Asked:
		return errors.Errorf("%d shards answered and %d missing of %d", c.Answered, len(c.Missing), c.Asked)
	case math.Abs(c.Share*float64(c.Asked)-float64(c.Answered)) > roundingSlack:
		return errors.Errorf("the share is %v with %d of %d shards", c.Share, c.Answered, c.Asked)
	}
	unseen := setOf(asked)
	for _, m := range c.Missing {
		if !unseen[m.Shard] {
			return errors.Errorf("missing shard %q is not in the snapshot or there twice", m.Shard)
		}
		if !isReason(m.Reason) {
			return errors.Errorf("missing shard %q has the unknown reason %q", m.Shard, m.Reason)
		}
		delete(unseen, m.Shard)
	}
	return nil
}

// checkKeys returns an error when a key appears twice.
func checkKeys(a *caller.Answer) error {
	seen := map[string]bool{}
	for _, item := range a.Items {
		if seen[item.Key] {
			return errors.Errorf("key %s appears twice", item.Key)
		}
		seen[item.Key] = true
	}
	return nil
}

// checkItems returns an error unless the items are those of the reference search over the answered shards.
func (in *Inspector) checkItems(r planner.Request, service tiller.Service, asked []string, a *caller.Answer) error {
	missing := missingOf(a.Coverage)
	var answered []string
	for _, name := range asked {
		if !missing[name] {
			answered = append(answered, name)
		}
	}
	want, err := in.reference.items(r.Service, service.Current, r.Route, answered, r.Body, service.Limit)
	if err != nil {
		return errors.Wrap(err, "reference search")
	}
	if len(a.Items) != len(want) {
		return errors.Errorf("the answer has %d items and the reference search %d", len(a.Items), len(want))
	}
	for i, item := range a.Items {
		if item.Key != want[i].Key || item.Score != want[i].Score || !isSameJSON(item.Body, want[i].Body) {
			return errors.Errorf("item %d is %s and in the reference search %s", i, item.Key, want[i].Key)
		}
	}
	return nil
}

// isSameJSON says whether two JSON texts differ in white space only.
func isSameJSON(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

func missingOf(c caller.Coverage) map[string]bool {
	missing := map[string]bool{}
	for _, m := range c.Missing {
		missing[m.Shard] = true
	}
	return missing
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
