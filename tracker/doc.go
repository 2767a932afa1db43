// Package tracker decides which daemon owns a unit of upstream capacity, by leases
// that the unit's three voter seats grant. Times are in milliseconds.
package tracker
