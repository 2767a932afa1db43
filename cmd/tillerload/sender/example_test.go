package sender_test

import (
	"context"
	"fmt"
	"time"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/sender"
)

func ExampleSender() {
	s := sender.Sender{
		Next: sequence(time.Millisecond),
		Ask:  func(_ context.Context, r planner.Request, _ time.Time) { fmt.Println(r.At) },
	}
	s.Run(context.Background(), time.Now(), 2*time.Millisecond)
	// Output: 1ms
}
