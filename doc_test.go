package carawaytiller_test

import (
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
)

func ExampleCoverage_Share() {
	c := tiller.Coverage{Asked: 4, Answered: 3, Missing: []tiller.MissingShard{{Shard: "s4", Reason: tiller.ReasonTimeout}}}
	fmt.Println(c.Share())
	// Output: 0.75
}

func ExampleVerdict_Join() {
	fmt.Println(tiller.NotRun.Join(tiller.Ran))
	// Output: MayHaveRun
}
