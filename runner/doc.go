// Package runner owns the state of a daemon. One goroutine stamps each event with the time and a
// random number, hands it to the reducer's Step and carries out the effects without blocking.
// Times are in milliseconds. Failures are of type *carawaytiller.Failure.
package runner
