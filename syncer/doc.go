// Package syncer synchronizes the configuration of a daemon with the platform's store and with its peers.
// It owns the daemon's distributor.Table, watches the store if the daemon has one of the first WatcherCount seats,
// and passes each new document to Config.Apply. Times are in milliseconds.
package syncer
