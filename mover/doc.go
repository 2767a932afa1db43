// Package mover decides how much traffic the new version of a rollout gets, and whether it shows a fault.
//
// Each route is compared by failures and by slow responses with the version that is replaced, which
// serves at the same time, so that load and time of day act on both. Times are in milliseconds.
package mover
