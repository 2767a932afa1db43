// Package comparer measures what the daemons add to a direct upstream call, over fleets in this process.
// Its figures are wall-clock times of one machine; only their ratios within one run mean something.
package comparer
