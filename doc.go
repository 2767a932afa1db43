// Package carawaytiller holds the core types of a query tier over sharded services:
// queries, answers with their coverage, refusals with their verdict, and the operators' document.
//
// Times are in milliseconds (Millis). Errors are of type *Failure and say whether a request may have run.
package carawaytiller
