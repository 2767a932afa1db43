// Package server provides the HTTP handlers for callers and operators, with their health and metrics pages.
// Times are in milliseconds.
//
// Each refusal of a caller's request has a body with verdict and reason. Its status indicates who can resolve the cause:
//
//	400  the request is malformed, its deadline has passed or is too near, or its token is missing, unknown or expired
//	404  unknown path or service
//	405  unknown method
//	408  the body took longer than 10 s to arrive
//	409  a request with the same identifier or token is already known
//	410  the process that issued the token no longer runs
//	413  the body is larger than 1 MiB (operators: 4 MiB)
//	415  the body is not application/json
//	422  the request is blocked because upstreams failed after they received it
//	429  the queue is full, or the request waited in it too long; Retry-After gives the seconds to wait before a retry
//	431  the header is larger than 64 KiB
//	500  internal error of the daemon
//	503  the request was not run, for a reason that may be temporary
//	504  the coverage was too low or the time ran out, and the request may have run
//
// A header larger than 1.25 MiB is rejected by net/http with 431 and without that body.
//
// Operators' requests get an error body instead: 400 bad request, 404 not found, 409 conflict,
// 422 invalid document, 503 store down, 500 internal error of the daemon. Requests that are rejected before they
// are decoded have the statuses 404, 405, 408, 413, 415 and 431 as above.
package server
