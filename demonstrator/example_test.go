package demonstrator_test

import (
	"fmt"

	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/demonstrator"
	"github.com/carawaytiller/carawaytiller/sampler"
)

func ExampleStart() {
	records := sampler.Records(sampler.Lochan)
	search := func(service, snapshot, shard, _ string, body []byte, limit int) ([]tiller.Item, error) {
		return sampler.Search(records, service, snapshot, shard, body, limit)
	}
	fleet, err := demonstrator.Start(demonstrator.Config{
		Clock:    tiller.SystemClock(),
		Logger:   logr.Discard(),
		Document: sampler.Document(sampler.Lochan, func(string) string { return "" }),
		Upstream: demonstrator.DefaultUpstream(search),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer fleet.Close()
	fmt.Println(len(fleet.Members), "daemons")
	// Output: 8 daemons
}
