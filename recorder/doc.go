// Package recorder keeps the latest decisions about requests in a ring buffer, so that operators can
// find out why a request had its result. Times are in milliseconds.
package recorder
