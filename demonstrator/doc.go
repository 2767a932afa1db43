// Package demonstrator runs a complete fleet in one process on loopback: a fake platform, a fake upstream for
// every upstream of a document, and one daemon per seat. The daemons authenticate each other with certificates
// of an in-memory test certificate authority. The package is for demonstrations and tests.
// Times are in milliseconds.
package demonstrator
