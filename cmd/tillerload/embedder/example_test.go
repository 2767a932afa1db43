package embedder_test

import (
	"fmt"

	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/embedder"
	"github.com/carawaytiller/carawaytiller/sampler"
)

func ExampleStart() {
	fleet, err := embedder.Start(embedder.Config{
		Logger:   logr.Discard(),
		Document: sampler.Document(sampler.Lochan, func(string) string { return "" }),
		Search:   func(string, string, string, string, []byte, int) ([]tiller.Item, error) { return nil, nil },
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer fleet.Close()
	fmt.Println(len(fleet.Rotation.Addresses()), len(fleet.Upstreams("")), fleet.Settings("bulletin-1").Slots)
	// Output: 8 107 6
}
