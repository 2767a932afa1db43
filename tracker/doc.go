// Package tracker decides which daemon owns a unit of upstream capacity. The owner holds a lease
// granted by a majority of the unit's voter seats. Times and durations are in milliseconds.
//
// A Table implements the lease protocol for one daemon. For the units that its seat votes on, it
// grants leases as a voter, and requests, renews and releases leases as a candidate. A Table is a state
// machine: it reads no clock, socket or random source, and it is not safe for concurrent use.
//
// Two daemons never own a unit at the same true time if every clock, including that of a paused
// process, drifts by at most MaxClockDriftPercent, and every document is in force on all daemons
// within Config.PropagationMillis.
package tracker
