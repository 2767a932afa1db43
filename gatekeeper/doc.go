// Package gatekeeper is the daemon of an entry VM on the users' platform. It serves clients from the
// upstreams that are registered in the platform's store, and shuts down without aborting requests.
package gatekeeper
