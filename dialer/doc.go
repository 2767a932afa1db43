// Package dialer sends attempts to upstreams over HTTP/2 cleartext with prior knowledge,
// or over HTTP/1.1 to an upstream that does not speak HTTP/2.
//
// The package manages its own connections. Each is a net/http ClientConn over a net.Conn that records
// when bytes were last read; the package also counts the outstanding attempts of each connection.
//
// Each attempt is sent at most once. The connection pool of an http.Transport may resend a request on a
// new connection: when a reused connection turns out to be closed, on GOAWAY and on REFUSED_STREAM.
// A ClientConn is one connection without a pool, and its RoundTrip writes a request once or fails. In
// addition, requests have no GetBody, so net/http cannot send a body twice.
//
// Times are in milliseconds. Errors of Dialer.Send are of type *carawaytiller.Failure. Their verdict is
// NotRun only when no byte of the request was written or the upstream stated that it did not run it.
package dialer
