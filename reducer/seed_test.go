package reducer_test

import "flag"

// The seed of rapid is fixed so that the tests give the same verdict on every run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
