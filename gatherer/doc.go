// Package gatherer decides how requests are served: by which upstreams and daemons, when a second
// request is sent, when an answer goes out without the shards that are missing, and when a request
// is refused. Step takes one event and returns effects as data; it does no I/O and reads no clock.
// Times are in milliseconds.
package gatherer
