// Package messenger carries messages between daemons over QUIC with mutual TLS.
//
// Each forwarded query has its own bidirectional stream, which carries one request and one reply;
// cancelling the stream cancels the query. Lease messages to one peer are collected for LingerMillis and
// sent together on a unidirectional stream; every other message has its own unidirectional stream. A
// message is a version byte followed by CBOR, at most MaxMessageBytes in total.
//
// A connection is opened when there is a message to send, and serves both directions. It is closed when it
// carries no messages for Config.IdleMillis, when no packet arrives for SilentMillis, or to keep
// within Config.MaxConnections.
package messenger
