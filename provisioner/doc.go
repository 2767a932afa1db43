// Package provisioner gives a daemon its document and its seat. It reads the document from the platform's store,
// claims a seat and keeps it, keeps the document in step with the store and the other daemons, and accepts
// the operators' changes. Times are in milliseconds.
package provisioner
