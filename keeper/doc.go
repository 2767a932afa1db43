// Package keeper uses the platform's key-value store and its list of VMs: it claims the seat of a daemon,
// accepts changes of the operators' document and watches for them. Times are in milliseconds.
//
// Errors are of type *tiller.Failure: NotRun means that a write took no effect and never will,
// MayHaveRun that its outcome is unknown.
package keeper
