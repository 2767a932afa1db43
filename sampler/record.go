package sampler

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// Record is one entry in the index of a service. Keys are unique within a snapshot of a service.
type Record struct {
	Service  string
	Snapshot string
	Shard    string
	Key      string
	Text     string
	// Fields holds lists of terms, such as Ingredients, Allergens or Clauses. They are searched like Text.
	// The field Edition distinguishes the versions of a record: 1, or 2 if it was revised in the newer snapshot.
	Fields map[string][]string
}

const (
	// seed is fixed so that all programs and tests use the same records.
	seed = 20260301
	// poolSize is the number of different contents of one kind. Small services share them.
	poolSize = 240
	// revisionInterval is the n for which every nth record has a revised text in the newer snapshot.
	revisionInterval = 3
)

// Records returns the records of a deployment, or nil for an unknown deployment. They are grouped by service and
// snapshot in document order, and sorted by key within a snapshot.
// A newer snapshot has all records of the older one, some of them revised, and a quarter more.
func Records(deployment string) []Record {
	var out []Record
	d := deployments[deployment]
	for _, s := range d.services() {
		pool := s.contentPool()
		for i, shards := range s.group.shards {
			out = append(out, s.records(pool, i, shards)...)
		}
	}
	return out
}

// contentPool returns the contents, with their keys, from which the records of the service are taken.
func (s serviceSample) contentPool() []Record {
	r := rand.New(rand.NewPCG(seed, 0))
	out := make([]Record, poolSize)
	for i := range out {
		kind, text, fields := s.group.content(r)
		out[i] = Record{Key: fmt.Sprintf("%s-%04d", kind, i+1), Text: text, Fields: fields}
	}
	return out
}

// records returns the records of snapshot i of the service, distributed evenly over its shards and sorted by key.
func (s serviceSample) records(pool []Record, i, shards int) []Record {
	n := s.group.records + i*s.group.records/4
	out := make([]Record, n)
	for k := range out {
		out[k] = inSnapshot(pool[(s.ordinal*s.group.records+k)%poolSize], i, k)
		out[k].Service = s.name
		out[k].Snapshot = snapshotName(i)
		out[k].Shard = shardName(k % shards)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// inSnapshot returns record k as snapshot i contains it: with its edition, and with a revised text in edition 2.
func inSnapshot(r Record, i, k int) Record {
	number := 1
	if i > 0 && k%revisionInterval == 0 {
		number++
		r.Text += " Revised."
	}
	r.Fields = maps.Clone(r.Fields)
	r.Fields["Edition"] = []string{fmt.Sprint(number)}
	return r
}
