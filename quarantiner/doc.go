// Package quarantiner recognises requests that crash the upstreams that run them. It counts the
// upstreams lost with a request outstanding, by the request's digest, and remembers the digests
// that are blocked and those that are known to be clean. Times are in milliseconds.
package quarantiner
