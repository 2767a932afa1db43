// Package tracker decides which daemon owns a unit of upstream capacity, by leases
// that the unit's voter seats grant. Times and lengths of time are in milliseconds.
//
// A Table is one daemon's part in the protocol: it votes on the units for which its seat is
// a voter, and it asks for, renews and gives back the leases of these units. A Table is a state
// machine: it reads no clock, socket or random source, and it is not safe for concurrent use.
//
// Two daemons never own a unit at the same true time as long as every clock runs within
// MaxClockDriftPercent of true time, also while a process is paused, and every document is in force
// everywhere within Config.SpreadMillis.
package tracker
