package server_test

import (
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/server"
)

func ExampleMetrics_Count() {
	m := server.NewMetrics()
	m.Count("refusal", tiller.ReasonQueueFull, 2)
	fmt.Println(m.Value("refusal", tiller.ReasonQueueFull), m.Value("refusal", tiller.ReasonNoOwner))
	// Output: 2 0
}
