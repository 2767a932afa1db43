// Package router assigns work to daemons and upstreams.
//
// A seat is the numbered position of a daemon. A unit is one part of a service: it has one owner, which
// sends the unit's queries to the service's upstreams within the unit's quota of slots and connections.
// The package selects the seats that vote on the lease of a unit, divides services into units with quotas,
// and groups the shards of a query by upstream. It reads no clock; except for Grouper, its functions are pure.
package router
