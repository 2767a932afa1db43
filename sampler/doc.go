// Package sampler provides sample documents and records of the two deployments, Guild and Lochan.
//
// All functions are deterministic: the same arguments give the same documents, records and search results.
package sampler
