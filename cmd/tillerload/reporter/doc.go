// Package reporter gathers the outcomes of a load and the counters of the daemons, and reports them.
// Times are in milliseconds, rates per second, shares from 0 to 1.
package reporter
