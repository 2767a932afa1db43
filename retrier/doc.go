// Package retrier decides whether and when a request that failed on an upstream is retried.
// Times are in milliseconds.
package retrier
