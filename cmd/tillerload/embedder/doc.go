// Package embedder runs a fleet of daemons and fakes in this process for a load, and changes it under the load.
package embedder
