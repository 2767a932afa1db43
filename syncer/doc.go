// Package syncer keeps the configuration of a daemon in step with the platform's store and with its peers:
// it owns the daemon's distributor.Table, watches the store where that is its task, and hands each new
// document to the runner. Times are in milliseconds.
package syncer
