// Package commander holds the sub-commands of tillerctl.
//
// Results go to standard output and messages to standard error, but for check, whose result is its faults.
// The exit codes are 0 for success, 1 when something was refused or failed, and 2 for bad input.
package commander
