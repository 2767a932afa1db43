// Package mover decides which share of the traffic the new version of a rollout receives, and whether
// the new version is faulty.
//
// On each route, the rates of failures and of slow responses of the new version are compared with those of
// the old version. Both serve at the same time, so that load and time of day affect both alike.
// Times are in milliseconds.
package mover
