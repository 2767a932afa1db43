// Package router divides work: seats are ranked for a unit, a service's upstreams are divided into
// units with quotas, and the shards of a query are grouped into attempts on upstreams.
// All functions are pure; times do not occur.
package router
