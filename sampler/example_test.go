package sampler_test

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/carawaytiller/carawaytiller/sampler"
)

func ExampleSearch() {
	records := sampler.Records(sampler.Guild)
	body, _ := json.Marshal(sampler.Request{Terms: []string{"sesame", "soy"}, Exclude: []string{"gluten"}})
	items, _ := sampler.Search(records, "label-printer", "2026-03-01", "", body, 3)
	for _, item := range items {
		var result sampler.Result
		_ = json.Unmarshal(item.Body, &result)
		fmt.Printf("%.2f %s %s: %s\n", item.Score, item.Key, result.Shard, result.Text)
	}
	// Output:
	// 2.29 label-0071 shard-11: Winter soup, 250 g. Contains fish, soy, egg, sesame, crustaceans.
	// 2.24 label-0002 shard-02: Golden soup, 150 g. Contains soy, sesame, milk, nuts.
	// 2.17 label-0041 shard-05: Harvest pie, 450 g. Contains soy, celery, sesame.
}

func ExampleDocument() {
	doc := sampler.Document(sampler.Guild, sampler.SequentialAddresses(netip.MustParseAddr("10.1.0.1"), 8080))
	fmt.Println(len(doc.Services), len(doc.Upstreams), doc.Upstreams[0].Address)
	// Output: 52 113 10.1.0.1:8080
}
