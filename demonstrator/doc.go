// Package demonstrator runs a whole fleet in one process on loopback: a fake platform, a fake upstream
// for every upstream of a document, and daemons. It is for demonstrations and tests.
// Times are in milliseconds.
package demonstrator
