package faker_test

import (
	"context"
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/platform"
	"github.com/carawaytiller/carawaytiller/api/upstream"
	"github.com/carawaytiller/carawaytiller/faker"
)

func ExampleStore() {
	store, err := faker.NewStore(faker.StoreSettings{}, tiller.SystemClock())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer store.Close()
	address, err := store.Start("127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	client, err := platform.NewClient("http://" + address)
	if err != nil {
		fmt.Println(err)
		return
	}
	entry, err := client.PutKey(context.Background(), &platform.Write{Value: "revision 1"}, platform.PutKeyParams{Key: "document"})
	fmt.Println(entry.Version, err)
	// Output: 1 <nil>
}

func ExampleUpstream() {
	u, err := faker.NewUpstream(faker.UpstreamSettings{
		Name:     "recipe-desk-1",
		Slots:    2,
		Holdings: []faker.Holding{{Service: "recipe-desk", Snapshot: "n1", Shards: []string{"s1"}}},
		Search: func(_, _, _, _ string, _ []byte, _ int) ([]tiller.Item, error) {
			return []tiller.Item{{Key: "bread", Score: 0.5, Body: []byte(`{"Allergens":["wheat"]}`)}}, nil
		},
	}, tiller.SystemClock())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer u.Close()
	response, err := u.Search(context.Background(), &upstream.SearchRequest{
		ID: "r1", Service: "recipe-desk", Snapshot: "n1", Shards: []string{"s1"}, Route: "search", DeadlineMillis: 400,
	})
	if found, ok := response.(*upstream.SearchResponse); ok {
		fmt.Println(found.Shards[0].Items[0].Key, err)
	}
	fmt.Println(u.Runs("search"))
	// Output:
	// bread <nil>
	// map[r1:1]
}
