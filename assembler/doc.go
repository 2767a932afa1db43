// Package assembler builds a daemon from its parts: the reducer's state behind a runner, the dialer,
// and the HTTP interfaces for callers and operators. Times are in milliseconds.
package assembler
