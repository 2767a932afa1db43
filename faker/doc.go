// Package faker provides in-memory test fakes of the systems that the daemons depend on: the platform's
// key-value store (Store), its list of VMs (VMList) and an upstream (Upstream). They implement the published
// HTTP interfaces over HTTP/1.1 and cleartext HTTP/2, and inject faults on request.
//
// Each fake is an http.Handler and can be started on a loopback address. Settings are fixed when a fake is
// created; faults can be replaced while it runs, with SetFaults or over HTTP through its Control handler.
// To drop a response, a handler panics with http.ErrAbortHandler, as package net/http expects.
//
// Waits, such as service times and long polls, take real time. Lease expiry, report lag and rate limits
// follow the tiller.Clock.
package faker
