package reporter_test

import (
	"fmt"
	"time"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/reporter"
)

func ExampleFigures() {
	f := reporter.NewFigures(time.Second, func(planner.Request) int { return 1 })
	f.Add(answered(30*time.Millisecond, 4))
	p := f.Part("total", time.Second, reporter.Counters{First: 1, Hedges: 1})
	fmt.Println(p.GoodputPerSecond, p.Coverage.WholeShare, p.Load.OverFirst)
	// Output: 1 1 2
}
