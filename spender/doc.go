// Package spender issues single-use tokens (idempotency keys) and stores the outcome of the request on which
// each was used, so that a request that is not repeatable runs at most once. To spend a token is to use it
// for a request. Times are in milliseconds.
package spender
