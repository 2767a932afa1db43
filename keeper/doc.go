// Package keeper accesses the platform's key-value store and its list of VMs. It claims the seat of a daemon
// (one of a fixed number of numbered places in the fleet), and it writes and watches the configuration document
// that operators change. Times are in milliseconds.
//
// Errors of the store are of type *tiller.Failure. The verdict NotRun means that a write had no effect and
// never will have one; MayHaveRun means that its outcome is unknown.
package keeper
