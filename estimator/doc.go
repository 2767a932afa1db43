// Package estimator measures what the parts of a daemon cost and works out what that comes to at a given size.
//
// Processor times are wall-clock times of one goroutine on the machine at hand and vary between
// runs; bytes and messages are counts and do not.
package estimator
