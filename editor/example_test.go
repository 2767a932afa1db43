package editor_test

import (
	"fmt"

	"github.com/carawaytiller/carawaytiller/editor"
)

func ExampleSetField() {
	text := `{"Domains": [
	{"Name": "Burnaby" /* by the river */, "Region": "west"}, // the oldest one
]}`
	out, err := editor.SetField([]byte(text), "Domains", "Burnaby", "Out", true)
	fmt.Println(string(out), err)
	// Output:
	// {"Domains": [
	// 	{"Name": "Burnaby", "Out": true /* by the river */, "Region": "west"}, // the oldest one
	// ]} <nil>
}
