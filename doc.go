// Package carawaytiller defines the core types of a query tier over sharded services: queries,
// answers with their coverage, refusals with their verdict, and the operators' configuration (Document).
//
// Times are in milliseconds (Millis). Errors are of type *Failure; their Verdict states whether the
// request may have run.
package carawaytiller
