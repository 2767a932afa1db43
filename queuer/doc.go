// Package queuer holds the queries that wait for capacity: a bounded queue, ordered by deadline
// within a caller and shared fairly between callers by start-time fair queuing.
// Times are in milliseconds; costs are numbers of shards.
package queuer
