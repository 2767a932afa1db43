// Package accountant bounds the memory that a process holds for bytes received from outside: requests, answers,
// sub-queries, reports and reads of the store. Each of them is a Holding of one Account. When a byte more would
// exceed the limit, the largest holding that is still growing is cut off, so one sender without end cannot take the
// memory that small messages of others need.
package accountant
