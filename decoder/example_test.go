package decoder_test

import (
	"fmt"

	"github.com/carawaytiller/carawaytiller/decoder"
)

func ExampleDecodeSettings() {
	text := `{
	"Name": "vm-1", // the seat directory shows it
	"Domain": "glasgow",
	"Environment": "test",
	"CallerAddress": "localhost:8080",
	"OperatorAddress": "127.0.0.1:8081",
	"Seat": 0,
}`
	_, faults := decoder.DecodeSettings("settings.json", []byte(text))
	fmt.Println(faults)
	// Output:
	// settings.json:4:17: Environment: test is none of trial, production
	// settings.json:5:19: CallerAddress: "localhost:8080" is not an IP address with a port, such as 10.0.0.1:8080
}
