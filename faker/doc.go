// Package faker holds test fakes of the systems around the daemons: the platform's key-value store (Store),
// its list of VMs (VMList) and an upstream (Upstream). They speak the published HTTP interfaces over HTTP/1.1
// and HTTP/2 cleartext, keep everything in memory, and bring about failures on request.
//
// Each fake is an http.Handler and can be started on a loopback address. Settings are fixed when a fake is made;
// faults are swapped while it runs, with SetFaults or over HTTP through its Control handler.
// A handler that is to lose a response ends with http.ErrAbortHandler, as package net/http expects.
//
// Waits, such as service times and long polls, are in real time; the ends of leases, the lag of reports
// and rates are told by the tiller.Clock.
package faker
