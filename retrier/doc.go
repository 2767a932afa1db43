// Package retrier decides whether and when a request that failed on an upstream is sent again.
// Times are in milliseconds.
package retrier
