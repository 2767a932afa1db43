// Package inspector checks the answers and refusals of daemons, and what the fake upstreams saw,
// against the invariants of the project. Each check is a function that returns what is wrong, or nil.
package inspector
