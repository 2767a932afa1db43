// Package server holds the HTTP handlers for callers and operators, and the pages for health and metrics.
// Times are in milliseconds.
//
// Each refusal has a body with verdict and reason. Its status tells who can do something about it:
//
//	400  the request is malformed, its deadline is not in the future or too near, or its token is missing, unknown or expired
//	404  unknown path or service
//	405  unknown method
//	408  the body took longer than 10 s to arrive
//	409  a request with this identifier or token is already known
//	410  the process that issued the token is gone
//	413  the body is larger than 1 MiB (operators: 4 MiB)
//	415  the body is not application/json
//	422  the request is blocked because upstreams were lost after it
//	429  the queue is full or the wait in it was too long; Retry-After says when to ask again
//	431  the header is larger than 64 KiB
//	500  a fault of the daemon
//	503  the request was not run, for a reason that may pass
//	504  coverage was too low or time ran out, and the request may have run
//
// A header larger than 1.25 MiB is refused by net/http with 431 and without such a body.
//
// Operators' requests have an error body instead: 400 bad request, 404 not found, 409 conflict,
// 422 faulty document, 503 store down, 500 a fault of the daemon.
package server
