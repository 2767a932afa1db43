// Package limiter learns how many requests an upstream bears at once. A Limit starts at the
// upstream's cold allowance, grows with completed requests and never exceeds the quota
// that the document gives to the unit. Times are in milliseconds.
package limiter
