// Package joiner makes a daemon a member of its fleet: it claims a seat in the platform's store, follows
// the stored document, and exchanges queries, leases and facts with its peers. Times are in milliseconds.
package joiner
