// Package merger combines the results of the shards of one snapshot into one answer, and computes its coverage.
package merger
