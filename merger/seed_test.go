package merger_test

import "flag"

// Fixes the seed of rapid so that the tests are deterministic.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
