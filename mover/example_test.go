package mover_test

import (
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/mover"
)

func ExampleShare() {
	m := tiller.Move{StartAt: 0, FinishBy: 60 * tiller.Minute, CanaryPercent: 5}
	fmt.Println(mover.Share(m, 10*tiller.Minute, false, false))
	fmt.Println(mover.Share(m, 55*tiller.Minute, true, false))
	fmt.Println(mover.Share(m, 55*tiller.Minute, true, true))
	// Output:
	// 0.05
	// 0.95
	// 0
}
