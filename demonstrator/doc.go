// Package demonstrator runs a whole fleet in one process on loopback: a fake platform, a fake upstream
// for every upstream of a document, and daemons that are
// peers of each other through a trial authority in memory. It is for demonstrations and tests.
// Times are in milliseconds.
package demonstrator
