// Package gatekeeper is the daemon of an entry VM on the users' platform: it serves clients through
// the upstreams that the platform's store names, and stops without cutting a request.
package gatekeeper
