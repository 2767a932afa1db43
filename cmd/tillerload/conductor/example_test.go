package conductor_test

import (
	"fmt"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/conductor"
)

func ExampleNew() {
	cfg := config()
	cfg.Fault.Domain = "Kamloops"
	_, err := conductor.New(cfg)
	fmt.Println(err)
	// Output: --fault-domain "Kamloops": no such failure domain
}
