// Package quarantiner identifies requests that crash the upstreams that run them. It counts, by request
// digest, the upstreams that were lost while a request was outstanding on them. It tracks which digests are
// blocked and which are clean, that is, known to be harmless. Times are in milliseconds.
package quarantiner
