// Package hedger decides when a hedged request is due: Latency estimates the quantiles of a service's
// response times, and Budget bounds the extra requests in proportion to the first ones.
// Times are in milliseconds.
package hedger
