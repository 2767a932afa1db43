// Package runner is the event loop of a daemon. One goroutine owns the reducer's state: it stamps each event
// with the time and a random number, passes it to the reducer's Step and executes the returned effects
// without blocking. Times are in milliseconds. Failures are of type *carawaytiller.Failure.
package runner
