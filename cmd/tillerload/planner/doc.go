// Package planner decides which queries a load consists of and when each of them starts.
//
// A plan follows from its seed alone. Starts are lengths of time since the begin of the load.
package planner
