package comparer

import (
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	service  = "fan"
	route    = "search"
	snapshot = "1"
	seats    = 8
	slots    = 8
	// connections and connectMillis are those of the wide services of the deployments.
	connections                 = 40
	connectMillis tiller.Millis = 1
	// limit is the number of items in an answer.
	limit = 10
)

// document returns a document with one service of fanOut shards, each on an upstream of its own.
func document(fanOut int) *tiller.Document {
	doc := &tiller.Document{Environment: "trial", Revision: 1, Seats: seats}
	for _, name := range []string{"a", "b", "c"} {
		doc.Domains = append(doc.Domains, tiller.Domain{Name: name, Region: "r"})
	}
	index := tiller.Snapshot{Name: snapshot}
	for i := range fanOut {
		name := fmt.Sprintf("upstream-%03d", i)
		doc.Upstreams = append(doc.Upstreams, tiller.Upstream{
			Name: name, Domain: doc.Domains[i%len(doc.Domains)].Name, Version: "1",
			Slots: slots, Connections: connections, ConnectMillis: connectMillis, ColdSlots: slots,
		})
		index.Shards = append(index.Shards, tiller.Shard{Name: shardName(i), Upstreams: []string{name}})
	}
	doc.Services = []tiller.Service{{
		Name: service, Routes: []tiller.Route{{Name: route, Repeatable: true}},
		Current: snapshot, Snapshots: []tiller.Snapshot{index},
		WaitFor: tiller.WaitForCoverage, NeededCoverage: 1, DeadlineMillis: deadlineMillis,
		Limit: limit, QueueLimit: 100, HedgePercent: 5, RetryPercent: 10,
	}}
	return doc
}

func shardName(i int) string { return fmt.Sprintf("shard-%03d", i) }

// search returns one item, so that the search itself costs next to nothing.
func search(_, _, shard, _ string, _ []byte, _ int) ([]tiller.Item, error) {
	return []tiller.Item{{Key: shard, Score: 1, Body: []byte(`{"Text":"an item"}`)}}, nil
}
