// Package cataloger holds what operators and upstreams have published: routes, services,
// upstreams and limits. Its types are immutable values, read by many requests at a time.
// Times are in milliseconds.
package cataloger
