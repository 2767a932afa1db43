package dialer_test

import (
	"context"
	"errors"
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/dialer"
	"github.com/carawaytiller/carawaytiller/reducer"
)

func ExampleDialer_Send() {
	clock := tiller.SystemClock()
	d := dialer.New(dialer.Config{Clock: clock})
	defer d.Close()
	attempt := reducer.SendAttempt{
		Upstream:   "u1",
		Address:    "127.0.0.1:1",
		ValidUntil: clock.Now() + tiller.Second,
		Request:    tiller.SearchRequest{Attempt: 1, Deadline: clock.Now() + tiller.Second},
	}
	_, err := d.Send(context.Background(), attempt)
	var f *tiller.Failure
	fmt.Println(errors.As(err, &f), f.Verdict, f.Reason)
	// Output: true NotRun ConnectFailed
}
