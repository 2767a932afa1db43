// Package messenger carries messages between daemons over QUIC with mutual TLS.
//
// A query is forwarded on a stream of its own, which carries one request and one reply; cancelling the
// stream cancels the query. Lease messages to one peer are collected for LingerMillis and go out together
// on a unidirectional stream; the other messages have a unidirectional stream each. Messages are
// CBOR after a version byte, at most MaxMessageBytes long. Connections are opened when there is
// something to send, shared by both directions, and closed when they are idle, silent or too many.
package messenger
