package distributor_test

import (
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/distributor"
)

func Example() {
	table := distributor.New(0, 0)
	table.SetDocument(0, &tiller.Document{Environment: "trial", Revision: 5, Seats: 8}, 1)
	table.SetDocument(100, &tiller.Document{Environment: "trial", Revision: 4, Seats: 8}, 2)
	fmt.Println(table.Revision(), table.Age(150))
	// Output: 5 150
}
