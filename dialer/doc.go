// Package dialer sends attempts to upstreams over HTTP/2 cleartext with prior knowledge,
// or over HTTP/1.1 to an upstream that does not speak HTTP/2.
//
// It owns its connections: each is a net/http ClientConn over a metered net.Conn, so that it knows
// for each connection when bytes were last read and which attempts are outstanding.
//
// At most once: a Transport's pool may send a request again by itself, on a new connection, when a
// reused connection turns out to be closed, on GOAWAY and on REFUSED_STREAM. A ClientConn is one
// connection without a pool; its RoundTrip writes a request once or fails. The requests have no
// GetBody either, so nothing in net/http could send a body twice.
//
// Times are in milliseconds. Errors are of type *carawaytiller.Failure: NotRun only when no byte of
// the request was written or the upstream said that it did not run it.
package dialer
