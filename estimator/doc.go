// Package estimator measures the unit costs of the parts of a daemon and extrapolates them to a given size.
//
// Processor times are wall-clock times of one goroutine on the local machine and vary between runs.
// Bytes and messages are counts and do not vary.
package estimator
