// Package spender issues single-use tokens and remembers what became of them, so that a request
// that is not repeatable runs at most once. Times are in milliseconds.
package spender
