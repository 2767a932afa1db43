package joiner_test

import (
	"fmt"

	"github.com/carawaytiller/carawaytiller/joiner"
)

func ExampleConnectStore() {
	_, err := joiner.ConnectStore(nil)
	fmt.Println(err)
	// Output: no address of the platform
}
