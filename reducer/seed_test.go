package reducer_test

import "flag"

// Fixes the seed of rapid, so that every run of the tests gives the same result.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
