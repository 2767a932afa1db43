package planner_test

import (
	"fmt"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
)

func ExampleParseWeights() {
	weights, err := planner.ParseWeights("search=80,print=1")
	fmt.Println(weights.Names(), err)
	_, err = planner.ParseWeights("search=many")
	fmt.Println(err)
	// Output:
	// [search print] <nil>
	// "search=many": the weight is not a whole number
}
