// Package conductor runs one load: it starts the fleet or finds the daemons, sends the queries, brings the fault
// about, checks the outcomes and sums them up.
package conductor
