package injector_test

import (
	"fmt"
	"time"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/injector"
)

func ExampleFault_Check() {
	fault := injector.Fault{Name: injector.Shed, At: 8 * time.Second, For: 4 * time.Second, Domain: "Burnaby"}
	fmt.Println(fault.Check(document(), 10*time.Second))
	// Output: --fault-for 4s: the fault at 8s would outlast the load of 10s
}
