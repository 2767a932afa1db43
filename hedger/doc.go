// Package hedger provides the inputs for hedged requests: Latency estimates quantiles of response times,
// and Budget limits extra requests (hedges and retries) to a percentage of the first requests, which are
// the first attempts.
// Times are in milliseconds.
package hedger
