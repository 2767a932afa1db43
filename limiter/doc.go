// Package limiter implements adaptive concurrency limits for upstreams. A Limit starts at the
// upstream's cold allowance, grows with completed requests and never exceeds its quota.
//
// A service is divided into units of ownership, each owned by one daemon. The slots of an upstream are
// divided among these units; the share of a unit is its quota. At most one unit has a cold allowance for
// an upstream and may send requests to it during a cold start. Times are in milliseconds.
package limiter
