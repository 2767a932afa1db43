// Package provisioner obtains the document and the seat of a daemon. It reads the document from the platform's
// store, claims a seat and renews its store lease, keeps the document up to date with the store and with
// the other daemons, and accepts operators' changes. Times are in milliseconds.
package provisioner
