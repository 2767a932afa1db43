package assembler_test

import (
	"context"
	"fmt"

	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/assembler"
)

func ExampleNew() {
	d, err := assembler.New(assembler.Config{
		Clock:           tiller.SystemClock(),
		Logger:          logr.Discard(),
		CallerAddress:   "127.0.0.1:0",
		OperatorAddress: "127.0.0.1:0",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	d.TakeSeat(0, 1)
	fmt.Println(d.Apply(&tiller.Document{Environment: "trial", Revision: 1, Seats: 1}))
	fmt.Println(d.Stop(context.Background()))
	// Output:
	// <nil>
	// <nil>
}
