package queuer_test

import "flag"

// A fixed seed for rapid makes the property tests reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
