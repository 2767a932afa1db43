package inspector_test

import (
	"fmt"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/inspector"
	"github.com/carawaytiller/carawaytiller/faker"
)

func ExampleCapacity() {
	log := &inspector.Log{}
	settings := faker.UpstreamSettings{Name: "recipe-desk-01-1", Slots: 2, ColdSlots: 1}
	inspector.Capacity(settings, faker.UpstreamCounts{GreatestColdInFlight: 2}, log)
	fmt.Println(log.Total(), log.First()[0].Detail)
	// Output: 1 2 requests at once in cold start, which bears 1
}
