package tracker_test

import (
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/tracker"
)

func ExampleTable() {
	unit := tracker.Unit{ID: tracker.UnitID{Service: "bulletin"}, Voters: []int{2, 0, 1}}
	var tables []*tracker.Table
	for seat := range 3 {
		table := tracker.New(tracker.Config{Seat: seat, Incarnation: 1, PropagationMillis: 1}, 0)
		table.SetUnits(0, 1, []tracker.Unit{unit})
		tables = append(tables, table)
	}
	now := tiller.Millis(2000)
	for _, e := range tables[2].Tick(now, 1) {
		for _, reply := range tables[e.To].Receive(now, 2, e.Message, 1) {
			tables[2].Receive(now, e.To, reply.Message, 1)
		}
	}
	h := tables[2].Holding(now, unit.ID)
	fmt.Println(h.Owned, h.ValidUntil-now)
	fmt.Println(tables[0].Holding(now, unit.ID).Owner)
	// Output:
	// true 1175
	// 2
}
