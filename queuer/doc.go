// Package queuer implements the bounded queue of queries that wait for capacity. Queries of one caller
// are ordered by deadline; callers share the capacity by start-time fair queuing.
// Times are in milliseconds; costs are numbers of shards. Start tags and the virtual time are in units of cost.
package queuer
