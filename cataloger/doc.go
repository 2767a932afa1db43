// Package cataloger holds the data that operators, upstreams and daemons publish: routes, services,
// limits, upstreams and members of the fleet. Its types are immutable values and may be read
// concurrently. Times are in milliseconds.
package cataloger
