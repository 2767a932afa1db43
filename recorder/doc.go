// Package recorder keeps the latest decisions in a bounded ring, so that operators can ask
// why a request had its result. Times are in milliseconds.
package recorder
