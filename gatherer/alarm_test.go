package gatherer_test

import (
	"fmt"

	"github.com/carawaytiller/carawaytiller/gatherer"
)

func ExampleAlarm_WithDue() {
	var a gatherer.Alarm
	a, set := a.WithDue(1000)
	fmt.Println(set, a.Covers(1000))
	// The timer for that time is outstanding.
	a, set = a.WithDue(1000)
	fmt.Println(set, a.Covers(1000))
	// Work that becomes due at the time at which the timer has fired needs another one.
	a = a.WithFired()
	fmt.Println(a.Covers(1000))
	a, set = a.WithDue(1000)
	fmt.Println(set, a.Covers(1000))
	// Output:
	// true true
	// false true
	// false
	// true true
}
