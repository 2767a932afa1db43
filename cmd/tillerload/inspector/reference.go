package inspector

import (
	"cmp"
	"slices"
	"sync"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// printRoute is the route that searches the whole snapshot on one upstream.
const printRoute = "print"

// maxRemembered bounds the number of searches whose results are remembered.
const maxRemembered = 16384

// Reference searches the records directly. Its methods may be called from any goroutine.
type Reference struct {
	records map[[2]string][]sampler.Record

	mu         sync.Mutex
	remembered map[searchKey][]tiller.Item
}

// searchKey identifies a search of one shard.
type searchKey struct {
	service, snapshot, shard, body string
	limit                          int
}

// NewReference returns a Reference over records.
func NewReference(records []sampler.Record) *Reference {
	r := &Reference{records: map[[2]string][]sampler.Record{}, remembered: map[searchKey][]tiller.Item{}}
	for _, record := range records {
		key := [2]string{record.Service, record.Snapshot}
		r.records[key] = append(r.records[key], record)
	}
	return r
}

// Run is the search that the fake upstreams run on one shard. A print searches the whole snapshot for one label.
func (r *Reference) Run(service, snapshot, shard, route string, body []byte, limit int) ([]tiller.Item, error) {
	if route == printRoute {
		shard, limit = "", 1
	}
	return sampler.Search(r.records[[2]string{service, snapshot}], service, snapshot, shard, body, limit)
}

// items returns the items of the right answer over shards of one snapshot, at most limit.
func (r *Reference) items(service, snapshot, route string, shards []string, body []byte, limit int) ([]tiller.Item, error) {
	if route == printRoute {
		return r.Run(service, snapshot, "", route, body, limit)
	}
	var all []tiller.Item
	for _, shard := range shards {
		found, err := r.search(searchKey{service: service, snapshot: snapshot, shard: shard, body: string(body), limit: limit})
		if err != nil {
			return nil, err
		}
		all = append(all, found...)
	}
	slices.SortFunc(all, func(a, b tiller.Item) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Key, b.Key))
	})
	return all[:min(limit, len(all))], nil
}

// search searches one shard and remembers the result.
func (r *Reference) search(key searchKey) ([]tiller.Item, error) {
	r.mu.Lock()
	found, ok := r.remembered[key]
	r.mu.Unlock()
	if ok {
		return found, nil
	}
	found, err := r.Run(key.service, key.snapshot, key.shard, "", []byte(key.body), key.limit)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.remembered) >= maxRemembered {
		clear(r.remembered)
	}
	r.remembered[key] = found
	return found, nil
}
