// Package joiner runs a daemon as a member of its fleet: the daemon claims a seat in the platform's store, applies
// the stored document, and exchanges queries, lease messages and facts with its peers. Times are in milliseconds.
package joiner
